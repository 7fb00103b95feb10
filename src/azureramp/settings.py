"""The daemon's settings, checked before anything starts."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Settings:
    """Settings of one daemon, from its flags and environment variables.

    Attributes:
        vm: This VM's name.
        zone: The name of its availability zone.
        http_address: `IP:port` for callers and operators.
        peer_address: `IP:port` for the other daemons.
        store_address: `IP:port` of the platform's key-value service.
        vmlist_address: `IP:port` of the platform's VM list.
        statsd_address: `IP:port` of the statsd server; empty for none.
        peer_key: The key of the peer messages' MAC.
        operator_token_sha256: Lower-case hexadecimal SHA-256 of the
            operators' token.
        heartbeat_ms: Time between heartbeats.
        lease_ms: Length of the heartbeat lease.
        suspect_ms: Silence after which a VM is no longer taken for live.
        probe_ms: Time between health reads of an owned searcher.
        address_lifetime_ms: How long an address answer may be kept.
        confirm_ms: Longest age of the platform's confirmation that still
            counts as fresh.
        drain_ms: Hard limit of a graceful shutdown.
        list_lag_ms: How long the VM list may lag.
        watchers: How many VMs of a cell hold the configuration watch.
    """

    vm: str
    zone: str
    http_address: str
    peer_address: str
    store_address: str
    vmlist_address: str
    statsd_address: str = ""
    peer_key: str = ""
    operator_token_sha256: str = ""
    heartbeat_ms: int = 250
    lease_ms: int = 1500
    suspect_ms: int = 1000
    probe_ms: int = 500
    address_lifetime_ms: int = 5000
    confirm_ms: int = 2000
    drain_ms: int = 30000
    list_lag_ms: int = 5000
    watchers: int = 2
