/** Types of the platform's list of live and leaving instances. The list is eventually consistent: a read may be out of date. */
import type { Result } from 'true-myth'
import type { Backend } from '../../backends/types.ts'
import type { CyclamenError } from '../../errors/index.ts'
import type { PeerAddress } from '../../peers/types.ts'

/** One entry node of the list. */
export interface ListedEntryNode {
  address: PeerAddress
  leaving: boolean
}

/** Content of the list. */
export interface InstanceListing {
  nodes: ListedEntryNode[]
  backends: Backend[]
}

/** The functions of the list. */
export interface InstanceList {
  read: (deadlineAtMs: number) => Promise<Result<InstanceListing, CyclamenError>>
  /** Reads the entry nodes only, for membership. */
  readNodes: (deadlineAtMs: number) => Promise<Result<ListedEntryNode[], CyclamenError>>
  close: () => Promise<void>
}
