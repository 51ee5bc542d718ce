"""Tests of verbenagrade.coordination."""
