"""The node of sequoiaglade: one kind of process, run by every entry instance."""
