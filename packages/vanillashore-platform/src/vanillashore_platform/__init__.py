"""Clients of the platform's key-value service and VM list, and followers of what they hold."""

from vanillashore_platform._claim_store import ClaimStore, RetentionLease, StoredClaim
from vanillashore_platform._config_replica import ConfigReplica
from vanillashore_platform._config_store import (
    CHUNK_PREFIX,
    HEAD_KEY,
    ConfigSnapshot,
    ConfigStore,
    ConflictError,
)
from vanillashore_platform._etcd import EtcdStore
from vanillashore_platform._follower import VmListFollower
from vanillashore_platform._quarantine_store import QuarantineStore
from vanillashore_platform._share_table import SHARE_TABLE_KEY, ShareTableStore
from vanillashore_platform._store import (
    CasResult,
    KeyValueStore,
    StoredValue,
    StoreUnavailableError,
)
from vanillashore_platform._trial_store import Trial, TrialState, TrialStore, TrialTurn
from vanillashore_platform._vm_list import HttpVmList, VmEntry, VmList, VmState

__all__ = [
    "CHUNK_PREFIX",
    "HEAD_KEY",
    "SHARE_TABLE_KEY",
    "CasResult",
    "ClaimStore",
    "ConfigReplica",
    "ConfigSnapshot",
    "ConfigStore",
    "ConflictError",
    "EtcdStore",
    "HttpVmList",
    "KeyValueStore",
    "QuarantineStore",
    "ShareTableStore",
    "RetentionLease",
    "StoreUnavailableError",
    "StoredClaim",
    "StoredValue",
    "Trial",
    "TrialState",
    "TrialStore",
    "TrialTurn",
    "VmEntry",
    "VmList",
    "VmListFollower",
    "VmState",
]
