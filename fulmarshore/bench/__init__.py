"""Measurements that ``fulmarshore bench NAME`` runs and reports."""
