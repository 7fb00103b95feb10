"""Measuring tools, most of which run the real controllers in virtual time.

The main tool offers a seeded load to an in-memory deployment and reports what
callers and searchers observed. It is not a cluster simulator: networks and
hosts are modelled only through the faults that the ports inject.
"""
