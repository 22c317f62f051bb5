/**
 * An in-memory key-value service with the semantics of the real one and fault
 * injection. Several clients share one service, each with its own faults.
 */
import { createCallCounter } from './call-counts.ts'
import { createKeyValueState } from './state.ts'
import { connectMemoryClient } from './client.ts'
import { createFaultsFromSettings } from './faults.ts'
import type { Clock } from '../../../clock/index.ts'
import type { KeyValueStore } from '../types.ts'
import type { CallCounter, CallCounts, RateLimits } from './call-counts.ts'
import type { DecideFault, FaultSettings } from './faults.ts'
import type { KeyValueState } from './state.ts'

export type { CallCounts, RateLimits } from './call-counts.ts'
export type { CallAttempt, CallFault, DecideFault, FaultSettings, KeyValueOperation } from './faults.ts'

/** Options of an in-memory service. */
export interface MemoryKeyValueOptions extends Partial<RateLimits> {
  clock: Clock
  /** Faults of every client without faults of its own. */
  faults?: DecideFault | FaultSettings
  /** Number of revisions kept for watches. */
  maxHistoryRevisions?: number
  /** Time after which a client reports a silenced watch as lost. */
  watchIdleTimeoutMs?: number
}

/** A client of an in-memory service. */
export interface MemoryClient extends KeyValueStore {
  /** Sets this client's faults; undefined restores those of the service. */
  setFaults: (faults: DecideFault | FaultSettings | undefined) => void
  /** Stops all messages to the open watches of this client, which are lost after the idle timeout. Later watches aren't affected. */
  silenceWatches: () => void
  /** Ends all open watches of this client as lost, at once. */
  breakWatches: () => void
}

/** An in-memory service. */
export interface MemoryKeyValue {
  connect: (clientName: string) => MemoryClient
  /** Sets the faults of every client without faults of its own. */
  setFaults: (faults: DecideFault | FaultSettings) => void
  calls: () => CallCounts
  resetCalls: () => void
  /** Drops the history up to a revision, so that watches that start before it are lost. */
  compact: (revision: number) => void
  /** The data, for servers that expose it and for assertions in tests. Its use isn't counted as a call. */
  state: KeyValueState
  /** For servers that expose the data: called after a lease was granted, so that leases expire on time. */
  scheduleLeaseExpiry: () => void
  /** For servers that expose the data: counts a call; `false` if it exceeds the rate limit. */
  admit: CallCounter['admit']
  /** For servers that expose the data: counts an open watch until `watchClosed`. */
  watchOpened: () => void
  watchClosed: () => void
  close: () => void
}

const defaultHistoryRevisions = 10_000
const defaultWatchIdleTimeoutMs = 1_500

function toDecideFault (faults: DecideFault | FaultSettings): DecideFault {
  return typeof faults === 'function' ? faults : createFaultsFromSettings(faults)
}

/** Creates an in-memory service. */
export function createMemoryKeyValue (options: MemoryKeyValueOptions): MemoryKeyValue {
  const { clock } = options
  const closed = new AbortController()
  const state = createKeyValueState({
    nowMs: clock.monotonicMs,
    maxHistoryRevisions: options.maxHistoryRevisions ?? defaultHistoryRevisions
  })
  const counter = createCallCounter(clock.monotonicMs, {
    maxReadsPerSecond: options.maxReadsPerSecond ?? Infinity,
    maxWritesPerSecond: options.maxWritesPerSecond ?? Infinity
  })
  const clients = new Set<MemoryClient>()
  let defaultDecide = toDecideFault(options.faults ?? {})
  let leaseGranted: AbortController | undefined

  /** Expires leases on time, so that watches report the deleted keys. Ends when no lease is left. */
  async function runLeaseExpiry (): Promise<void> {
    for (;;) {
      leaseGranted = new AbortController()
      const nextAtMs = state.expireLeases()
      if (nextAtMs === undefined || closed.signal.aborted) break
      await clock.sleep(nextAtMs - clock.monotonicMs(), AbortSignal.any([closed.signal, leaseGranted.signal]))
    }
    leaseGranted = undefined
  }

  /** Starts the expiry of leases, or recomputes when the next one expires, because a new lease may expire sooner. */
  function scheduleLeaseExpiry (): void {
    if (leaseGranted === undefined) runLeaseExpiry()
    else leaseGranted.abort()
  }

  function connect (clientName: string): MemoryClient {
    let ownDecide: DecideFault | undefined
    const { store, silenceWatches, breakWatches } = connectMemoryClient({
      clientName,
      clock,
      state,
      counter,
      decide: attempt => (ownDecide ?? defaultDecide)(attempt),
      scheduleLeaseExpiry,
      watchIdleTimeoutMs: options.watchIdleTimeoutMs ?? defaultWatchIdleTimeoutMs
    })
    const client: MemoryClient = {
      ...store,
      silenceWatches,
      breakWatches,
      setFaults: faults => {
        ownDecide = faults === undefined ? undefined : toDecideFault(faults)
        if (typeof faults === 'object' && faults.down === true) breakWatches()
      }
    }
    clients.add(client)
    return client
  }

  function setFaults (faults: DecideFault | FaultSettings): void {
    defaultDecide = toDecideFault(faults)
    if (typeof faults !== 'object' || faults.down !== true) return
    for (const client of clients) client.breakWatches()
  }

  return {
    connect,
    setFaults,
    calls: counter.counts,
    resetCalls: counter.reset,
    compact: state.compact,
    state,
    scheduleLeaseExpiry,
    admit: counter.admit,
    watchOpened: counter.watchOpened,
    watchClosed: counter.watchClosed,
    close: () => closed.abort()
  }
}
