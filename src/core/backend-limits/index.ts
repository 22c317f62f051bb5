/** Records the request limits that backend servers name in their responses. */
import type { Clock } from '../clock/index.ts'
import type { BackendId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { NamedLimit } from './parse.ts'

export { parseNamedLimit } from './parse.ts'
export type { NamedLimit } from './parse.ts'

/** One start of a backend server's process. */
export interface LimitedBackend {
  id: BackendId
  service: string
  /** Wall time of its start, if it reported one. */
  startedAtMs?: number | undefined
}

/** Options of the limits of one node. */
export interface BackendLimitsOptions {
  clock: Clock
  log: Log
  metrics: Metrics
}

/** The limits of the backend servers that this node knows. */
export interface BackendLimits {
  /** Records what a response said of its backend server's limit. */
  recordResponse: (backend: LimitedBackend, named: NamedLimit) => void
  /** Records that a request was sent. */
  recordSent: (backend: LimitedBackend) => void
  /** Deletes the state of a backend server that is gone. */
  remove: (id: BackendId) => void
}

interface KnownLimit {
  startedAtMs: number | undefined
  perSecond: number
  namedAtMs: number
  /** Requests that this node sent since the limit was named. */
  sentCount: number
}

/** Creates the limits of one node. */
export function createBackendLimits ({ clock, log, metrics }: BackendLimitsOptions): BackendLimits {
  const known = new Map<BackendId, KnownLimit>()
  const reportedInvalid = new Set<BackendId>()

  function find ({ id, startedAtMs }: LimitedBackend): KnownLimit | undefined {
    const limit = known.get(id)
    return limit?.startedAtMs === startedAtMs ? limit : undefined
  }

  function recordResponse (backend: LimitedBackend, named: NamedLimit): void {
    const { id, service, startedAtMs } = backend
    const before = find(backend)
    if (named.kind === 'invalid') {
      if (!reportedInvalid.has(id)) log('backendLimitInvalid', { backend: id, service, text: named.text })
      reportedInvalid.add(id)
      return
    }
    if (named.kind === 'none') {
      if (before === undefined) return
      known.delete(id)
      log('backendLimitEnded', { backend: id, service, perSecond: before.perSecond, sent: before.sentCount, forMs: Math.round(clock.monotonicMs() - before.namedAtMs) })
      return
    }
    if (before?.perSecond === named.perSecond) return
    known.set(id, { startedAtMs, perSecond: named.perSecond, namedAtMs: before?.namedAtMs ?? clock.monotonicMs(), sentCount: before?.sentCount ?? 0 })
    log('backendLimitNamed', { backend: id, service, perSecond: named.perSecond, beforePerSecond: before?.perSecond, sent: before?.sentCount })
  }

  return {
    recordResponse,
    recordSent: backend => {
      const limit = find(backend)
      if (limit === undefined) return
      limit.sentCount += 1
      metrics.count('limited_backend_requests_total', { service: backend.service })
    },
    remove: id => {
      known.delete(id)
      reportedInvalid.delete(id)
    }
  }
}
