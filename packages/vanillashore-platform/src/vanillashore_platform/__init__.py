"""Clients of the platform's key-value service and VM list, and followers of what they hold."""

from vanillashore_platform._claim_store import ClaimStore, RetentionLease, StoredClaim
from vanillashore_platform._config_store import (
    HEAD_KEY,
    ConfigHead,
    ConfigSnapshot,
    ConfigStore,
)
from vanillashore_platform._etcd import EtcdStore
from vanillashore_platform._follower import ConfigFollower, VmListFollower
from vanillashore_platform._store import (
    CasResult,
    KeyValueStore,
    StoredValue,
    StoreUnavailableError,
)
from vanillashore_platform._vm_list import HttpVmList, VmEntry, VmList, VmState

__all__ = [
    "HEAD_KEY",
    "CasResult",
    "ClaimStore",
    "ConfigFollower",
    "ConfigHead",
    "ConfigSnapshot",
    "ConfigStore",
    "EtcdStore",
    "HttpVmList",
    "KeyValueStore",
    "RetentionLease",
    "StoreUnavailableError",
    "StoredClaim",
    "StoredValue",
    "VmEntry",
    "VmList",
    "VmListFollower",
    "VmState",
]
