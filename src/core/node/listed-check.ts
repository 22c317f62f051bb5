/**
 * Checks whether the instance list, which lags behind, contains this node yet.
 * An unlisted node may not know all peers and would take over their work.
 */
import type { Result } from 'true-myth'
import type { Clock } from '../clock/index.ts'
import type { CyclamenError } from '../errors/index.ts'
import type { NodeId } from '../ids/index.ts'
import type { ListedEntryNode } from '../platform/instance-list/index.ts'

/** Time after which a node serves even if the instance list never contained it. */
const maxUnlistedMs = 30_000

/** Options of `createListedCheck`. */
export interface ListedCheckOptions {
  node: NodeId
  clock: Clock
  readNodes: (deadlineAtMs: number) => Promise<Result<ListedEntryNode[], CyclamenError>>
}

/** Creates the check. `read` reads the nodes of the list and records whether this node is among them. */
export function createListedCheck ({ node, clock, readNodes }: ListedCheckOptions) {
  const serveUnlistedAtMs = clock.monotonicMs() + maxUnlistedMs
  let wasListed = false

  async function read (deadlineAtMs: number): Promise<Result<ListedEntryNode[], CyclamenError>> {
    const result = await readNodes(deadlineAtMs)
    if (result.isOk && result.value.some(entry => entry.address.node === node)) wasListed = true
    return result
  }

  return { read, isListed: () => wasListed || clock.monotonicMs() >= serveUnlistedAtMs }
}
