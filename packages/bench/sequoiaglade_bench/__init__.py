"""Benchmarks: load scenarios, baselines, and costs by size for the capacity page.

Each benchmark is a module with a function ``run(options)`` that
``python -m sequoiaglade_bench NAME`` calls.
"""
