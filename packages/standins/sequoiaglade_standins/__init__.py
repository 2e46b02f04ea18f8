"""Stand-ins for the platform and the endpoints, for tests and demonstrations.

``python -m sequoiaglade_standins.platform`` serves the object API and
``python -m sequoiaglade_standins.endpoint`` a model engine or plain service. Faults
are injected into both over HTTP; see the two modules.
"""
