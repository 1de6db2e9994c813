"""Clients of the platform's key-value service and VM list, and local copies of their data."""

from vanillashore_store._claim_store import ClaimStore, RetentionLease, StoredClaim
from vanillashore_store._config_replica import ConfigReplica
from vanillashore_store._config_store import (
    CHUNK_PREFIX,
    HEAD_KEY,
    WITHDRAWAL_KEY,
    ConfigSnapshot,
    ConfigStore,
    ConflictError,
)
from vanillashore_store._etcd import EtcdStore
from vanillashore_store._follower import VmListFollower
from vanillashore_store._quarantine_store import QuarantineStore
from vanillashore_store._share_table import SHARE_TABLE_KEY, ShareTableStore
from vanillashore_store._store import (
    CasResult,
    KeyValueStore,
    StoredValue,
    StoreUnavailableError,
)
from vanillashore_store._trial_store import Trial, TrialAttempt, TrialState, TrialStore
from vanillashore_store._vm_list import HttpVmList, VmEntry, VmList, VmState
from vanillashore_store._withdrawals import PendingWithdrawals

__all__ = [
    "CHUNK_PREFIX",
    "HEAD_KEY",
    "SHARE_TABLE_KEY",
    "WITHDRAWAL_KEY",
    "CasResult",
    "ClaimStore",
    "ConfigReplica",
    "ConfigSnapshot",
    "ConfigStore",
    "ConflictError",
    "EtcdStore",
    "HttpVmList",
    "KeyValueStore",
    "PendingWithdrawals",
    "QuarantineStore",
    "ShareTableStore",
    "RetentionLease",
    "StoreUnavailableError",
    "StoredClaim",
    "StoredValue",
    "Trial",
    "TrialAttempt",
    "TrialState",
    "TrialStore",
    "VmEntry",
    "VmList",
    "VmListFollower",
    "VmState",
]
