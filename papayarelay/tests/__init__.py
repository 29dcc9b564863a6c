"""Tests of papayarelay."""

from gevent import monkey

monkey.patch_all()
