/** Reads the platform's instance list on this node and finds what changed from one read to the next. */
import type { Result } from 'true-myth'
import type { Backend } from '../backends/types.ts'
import type { Clock } from '../clock/index.ts'
import type { CyclamenError } from '../errors/index.ts'
import type { BackendId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { InstanceListing, ListedEntryNode } from '../platform/instance-list/index.ts'
import type { InstanceFeedBounds } from './bounds.ts'
import { isSameBackend, preserveLeaving } from './table.ts'
import type { InstanceTable } from './table.ts'
import type { InstanceFeedEntry } from './types.ts'

/** Reads the platform's list. */
export type ReadListing = (deadlineAtMs: number) => Promise<Result<InstanceListing, CyclamenError>>

/** Options of a list reader. */
export interface ListReaderOptions {
  read: ReadListing
  table: InstanceTable
  clock: Clock
  metrics: Metrics
  bounds: InstanceFeedBounds
}

/** Reads the list for one node. */
export interface ListReader {
  /** Reads the list once; returns the changes, or undefined when the list didn't respond. */
  readChanges: () => Promise<InstanceFeedEntry[] | undefined>
  /** Whether the last successful read is at most `maxUnconfirmedMs` old. */
  isFresh: () => boolean
  /** Entry nodes of the last read, if it is fresh. */
  nodes: () => ListedEntryNode[] | undefined
  /** Drops the data of the last read; called once this node no longer reads the list. */
  reset: () => void
}

/** Creates a reader that hasn't read the list yet. */
export function createListReader ({ read, table, clock, metrics, bounds }: ListReaderOptions): ListReader {
  let previous: Map<BackendId, Backend> | undefined
  let nodes: ListedEntryNode[] | undefined
  let lastReadAtMs = -Infinity

  /** Whether the previous read agrees with the known entry. If not, the entry came from a watcher whose list is ahead of this one. */
  function matchedPreviousRead (known: InstanceFeedEntry): boolean {
    const before = previous?.get(known.backend.id)
    if (previous === undefined || before === undefined) return previous !== undefined && known.gone
    return !known.gone && isSameBackend(known.backend, preserveLeaving(known.backend, before))
  }

  /** Whether a difference between the list and the known entry is a new change, and not caused by a list that lags. */
  function isNewInformation (known: InstanceFeedEntry | undefined, listed: Backend | undefined, stampMs: number): boolean {
    if (known === undefined || known.stampMs < stampMs - bounds.maxListLagMs) return true
    const startsToLeave = listed?.state === 'leaving' && listed.instance === known.backend.instance && !known.gone
    return startsToLeave || matchedPreviousRead(known)
  }

  function changeOf (id: BackendId, listed: Backend | undefined, stampMs: number): InstanceFeedEntry | undefined {
    const known = table.get(id)
    const backend = listed === undefined ? known?.backend : preserveLeaving(known?.backend, listed)
    if (backend === undefined) return undefined
    const gone = listed === undefined
    if (known !== undefined && known.gone === gone && isSameBackend(known.backend, backend)) return undefined
    if (!isNewInformation(known, listed, stampMs)) return undefined
    return { stampMs: Math.max(stampMs, (known?.stampMs ?? 0) + 1), backend, gone }
  }

  function changesOf (backends: Backend[], stampMs: number): InstanceFeedEntry[] {
    const listed = new Map(backends.map(backend => [backend.id, backend]))
    const unlisted = table.entries().filter(({ backend, gone }) => !gone && !listed.has(backend.id)).map(({ backend }) => backend.id)
    const changes = [...listed.keys(), ...unlisted].map(id => changeOf(id, listed.get(id), stampMs))
    previous = listed
    return changes.filter(change => change !== undefined)
  }

  async function readChanges (): Promise<InstanceFeedEntry[] | undefined> {
    const startedAtMs = clock.monotonicMs()
    const stampMs = clock.wallMs()
    const listing = await read(stampMs + bounds.readTimeoutMs)
    if (listing.isErr) {
      metrics.count('instance_list_failures_total')
      return undefined
    }
    metrics.count('instance_list_reads_total')
    nodes = listing.value.nodes
    lastReadAtMs = startedAtMs
    return changesOf(listing.value.backends, stampMs)
  }

  const isFresh = (): boolean => clock.monotonicMs() - lastReadAtMs <= bounds.maxUnconfirmedMs

  return {
    readChanges,
    isFresh,
    nodes: () => isFresh() ? nodes : undefined,
    reset: () => {
      previous = undefined
      nodes = undefined
      lastReadAtMs = -Infinity
    }
  }
}
