/**
 * Whether the lagging instance list shows this node yet. A node that isn't
 * listed knows its peers by chance only, and would take over what they do.
 */
import type { Result } from 'true-myth'
import type { Clock } from '../clock/index.ts'
import type { CyclamenError } from '../errors/index.ts'
import type { NodeId } from '../ids/index.ts'
import type { ListedEntryNode } from '../platform/instance-list/index.ts'

/** Time after which a node serves though the list, which does answer, never showed it. */
const maxUnlistedMs = 30_000

/** What the check reads. */
export interface ListedCheckOptions {
  node: NodeId
  clock: Clock
  readNodes: (deadlineAtMs: number) => Promise<Result<ListedEntryNode[], CyclamenError>>
}

/** Reads the nodes of the list and remembers whether this one was among them. */
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
