"""The administration API."""

from limpetyard.admin._service import AdminService

__all__ = ["AdminService"]
