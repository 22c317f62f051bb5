/** Types of a feed, which replicates all keys under one prefix of the key-value service to every node. */
import type { KeyValueChange, KeyValueEntry } from '../../platform/key-value/types.ts'
import type { NodeId } from '../../ids/index.ts'

/** All changes under the prefix after `fromRevision`, up to `toRevision`. */
export interface FeedDelta {
  fromRevision: number
  toRevision: number
  changes: KeyValueChange[]
}

/** All entries under the prefix at one revision of the service. */
export interface FeedSnapshot {
  revision: number
  entries: KeyValueEntry[]
}

/** Revision and hash of a node's state. Equal hashes mean equal content. */
export interface FeedDigest {
  revision: number
  hash: string
}

/** Whether a node's state is fresh enough to serve requests with. */
export interface FeedReadiness {
  ready: boolean
  /** Why the node isn't ready; undefined when it is. */
  reason: string | undefined
}

/** Status of a feed on one node. */
export interface FeedStatus {
  prefix: string
  /** Revision of the service that this node's state corresponds to; 0 before the first state. */
  revision: number
  hash: string
  /** Highest revision that the service or a peer has reported to this node. */
  heardRevision: number
  /** Source of the last change of the state. */
  source: 'none' | 'watch' | 'service' | 'push' | 'peer'
  /** Whether this node watches the service for its failure domain. */
  watching: boolean
  /** Time since the state was last confirmed by the service or a peer; infinite before the first time. */
  unconfirmedMs: number
}

/** A feed on one node. */
export interface Feed {
  /** The entry of a key in this node's state. */
  get: (key: string) => KeyValueEntry | undefined
  /** All entries of this node's state, which corresponds to one revision of the service. */
  entries: () => KeyValueEntry[]
  revision: () => number
  /** Calls the listener with the changed keys after every change; returns a function that unsubscribes it. */
  onChange: (listener: (keys: string[]) => void) => () => void
  readiness: () => FeedReadiness
  status: () => FeedStatus
  /** Requests the status of all live peers; peers that don't respond before the deadline are left out. */
  statusOfPeers: (deadlineAtMs: number) => Promise<Map<NodeId, FeedStatus>>
  close: () => Promise<void>
}
