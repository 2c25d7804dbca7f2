"""Administration API of a daemon, for operators."""

from limpetyard.admin._service import AdminService

__all__ = ["AdminService"]
