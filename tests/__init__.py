"""Tests of cassiamount."""
