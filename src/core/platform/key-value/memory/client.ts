/** One client of an in-memory key-value service. */
import { Result } from 'true-myth'
import { createError } from '../../../errors/index.ts'
import { runCall } from './call.ts'
import { openMemoryWatch } from './watch.ts'
import type { Clock } from '../../../clock/index.ts'
import type { CallOptions, KeyValueError, KeyValueStore } from '../types.ts'
import type { CallCounter } from './call-counts.ts'
import type { DecideFault, KeyValueOperation } from './faults.ts'
import type { KeyValueState } from './state.ts'
import type { MemoryWatch } from './watch.ts'

/** Options of a client: its name and the parts of its service. */
export interface MemoryClientOptions {
  clientName: string
  clock: Clock
  state: KeyValueState
  counter: CallCounter
  decide: DecideFault
  scheduleLeaseExpiry: () => void
  watchIdleTimeoutMs: number
}

/** A client's functions and the fault injection of its watches. */
export interface MemoryClientParts {
  store: KeyValueStore
  silenceWatches: () => void
  breakWatches: () => void
}

/** Creates a client of a service. */
export function connectMemoryClient (options: MemoryClientOptions): MemoryClientParts {
  const { clientName, clock, state, counter } = options
  const watches = new Set<MemoryWatch>()

  /** Counts a call that reaches the service, then runs it with its fault. */
  async function call<Value> (
    operation: KeyValueOperation,
    keys: string[],
    callOptions: CallOptions,
    effect: () => Result<Value, KeyValueError>
  ): Promise<Result<Value, KeyValueError>> {
    const attempt = { client: clientName, operation, keys }
    const fault = options.decide(attempt)
    if (fault.refused !== true && fault.requestLost !== true && !counter.admit(clientName, operation)) {
      return Result.err(createError('KeyValueUnavailable', { operation, cause: 'too many requests' }))
    }
    return await runCall(clock, attempt, fault, callOptions, () => {
      state.expireLeases()
      return effect()
    })
  }

  const store: KeyValueStore = {
    get: (key, callOptions) => call('get', [key], callOptions, () =>
      Result.ok({ entry: state.get(key), revision: state.revision() })),
    list: (prefix, callOptions) => call('list', [prefix], callOptions, () =>
      Result.ok({ entries: state.list(prefix), revision: state.revision() })),
    transact: (transaction, callOptions) => {
      const keys = [...transaction.puts.map(put => put.key), ...transaction.deletes]
      return call('transact', keys, callOptions, () => state.transact(transaction))
    },
    grantLease: (ttlSeconds, callOptions) => call('grantLease', [], callOptions, () => {
      const granted = state.grantLease(ttlSeconds)
      options.scheduleLeaseExpiry()
      return granted
    }),
    keepAlive: (leaseId, callOptions) => call('keepAlive', [], callOptions, () => Result.ok(state.keepAlive(leaseId))),
    revokeLease: (leaseId, callOptions) => call('revokeLease', [], callOptions, () => {
      state.revokeLease(leaseId)
      return Result.ok(undefined)
    }),
    watch: (prefix, afterRevision, handlers) => {
      const fault = options.decide({ client: clientName, operation: 'watch', keys: [prefix] })
      const admitted = fault.refused !== true && counter.admit(clientName, 'watch')
      const watch = openMemoryWatch({ ...options, prefix, afterRevision, handlers, admitted, onEnd: () => watches.delete(watch) })
      watches.add(watch)
      return watch
    },
    era: () => 0,
    observeEra: () => {},
    close: async () => {
      for (const watch of [...watches]) watch.close()
    }
  }

  return {
    store,
    silenceWatches: () => { for (const watch of watches) watch.silence() },
    breakWatches: () => { for (const watch of [...watches]) watch.break() }
  }
}
