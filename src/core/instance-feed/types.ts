/** Types of the instance feed, which replicates the platform's instance list to every node. */
import type { Result } from 'true-myth'
import type { Backend } from '../backends/types.ts'
import type { CyclamenError } from '../errors/index.ts'
import type { ListedEntryNode } from '../platform/instance-list/index.ts'

/** One backend server as read from the list. With `gone` it is a tombstone: the read no longer contained the backend server. */
export interface InstanceFeedEntry {
  /** Wall time at which the read of the list started; the entry with the later stamp wins. */
  stampMs: number
  backend: Backend
  gone: boolean
}

/** Summary of a table for comparison: the number of listed backend servers and a hash over them, without stamps. */
export interface InstanceFeedDigest {
  count: number
  hash: string
}

/** The instance feed of one node. */
export interface InstanceFeed {
  /** Resolves once the complete state is known, from a watcher or from a read of the list. */
  initialSync: Promise<void>
  /** The backend servers that are listed, without tombstones. */
  backends: () => Backend[]
  digest: () => InstanceFeedDigest
  /** Whether this node is a watcher, which reads the list for its failure domain. */
  isWatching: () => boolean
  /** The entry nodes of the list: from this node's last read, else from a watcher, else from a new read. */
  readNodes: (deadlineAtMs: number) => Promise<Result<ListedEntryNode[], CyclamenError>>
  close: () => Promise<void>
}
