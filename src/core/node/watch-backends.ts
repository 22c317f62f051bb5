/**
 * Keeps the table of backend servers and the router up to date. The instance
 * feed provides the listed backend servers, one task polls the cloud's reclaim
 * notices, and one task per watched engine polls its load and cache events.
 */
import { setMaxListeners } from 'node:events'
import type { BackendTable } from '../backends/table.ts'
import type { Backend, EngineClient } from '../backends/types.ts'
import type { Clock } from '../clock/index.ts'
import type { BackendId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Cloud } from '../platform/cloud/index.ts'
import type { Router } from '../routing/index.ts'

const noticePollIntervalMs = 500
/** Mean interval between two polls of an engine; in between, the router adjusts the engine's load by this node's own attempts. */
const enginePollIntervalMs = 10_000
/** Timeout of a poll. */
const responseTimeoutMs = 2_000
/** Maximum number of engines that one node polls; for others, the router only uses what their responses contain. */
const maxWatchedEngines = 32

/** Options of `watchBackends`. */
export interface WatchBackendsOptions {
  clock: Clock
  log: Log
  metrics: Metrics
  table: BackendTable
  router: Pick<Router, 'onLoadReport' | 'onCacheEvents'>
  /** Undefined if no cloud is configured; reclaims are then only known from the instance list and the backend servers. */
  cloud: Cloud | undefined
  /** Returns numbers from 0 to 1 for the jitter of polls. */
  random: () => number
}

/** The running tasks. */
export interface BackendWatch {
  /** Replaces the listed backend servers. */
  update: (listed: readonly Backend[]) => void
  close: () => Promise<void>
}

/** Starts the tasks. */
export function watchBackends (options: WatchBackendsOptions): BackendWatch {
  const { clock, table } = options
  const stop = new AbortController()
  // Each watch task listens to this signal, so the default limit of listeners would cause a false warning about a leak.
  setMaxListeners(0, stop.signal)
  const watchTasks = new Map<BackendId, Promise<void>>()

  function update (listed: readonly Backend[]): void {
    table.update(listed)
    watchEngines()
  }

  async function readNotices (cloud: Cloud): Promise<void> {
    let sequence = 0
    while (!stop.signal.aborted) {
      const notices = await cloud.notices(sequence, clock.wallMs() + responseTimeoutMs)
      for (const notice of notices.isOk ? notices.value : []) {
        sequence = Math.max(sequence, notice.sequence)
        const backend = table.all().find(other => other.instance === notice.instance)
        if (backend !== undefined) table.markLeaving(backend.id, notice.goneAtMs)
      }
      await clock.sleep(noticePollIntervalMs, stop.signal)
    }
  }

  function watchEngines (): void {
    for (const backend of table.all()) {
      const engine = table.engineOf(backend.id)
      if (engine === undefined || watchTasks.has(backend.id) || watchTasks.size >= maxWatchedEngines) continue
      watchTasks.set(backend.id, watchEngine(backend, engine).finally(() => watchNextEngine(backend.id)))
    }
  }

  /** Watches an engine that exceeded the limit as soon as a watched one ends, without waiting for an update of the list. */
  function watchNextEngine (ended: BackendId): void {
    watchTasks.delete(ended)
    if (!stop.signal.aborted) watchEngines()
  }

  async function watchEngine (backend: Backend, engine: EngineClient): Promise<void> {
    let sequence = 0
    while (!stop.signal.aborted && table.engineOf(backend.id) === engine) {
      const deadlineAtMs = clock.wallMs() + responseTimeoutMs
      const [load, events] = await Promise.all([engine.load(deadlineAtMs), engine.cacheEvents(sequence, deadlineAtMs)])
      if (load.isOk) options.router.onLoadReport({ ...load.value, backend: backend.id })
      if (events.isOk && events.value.length > 0) {
        sequence = events.value.at(-1)?.sequence ?? sequence
        options.router.onCacheEvents(backend.id, events.value)
      }
      await clock.sleep(enginePollIntervalMs * (0.75 + options.random() / 2), stop.signal)
    }
  }

  const tasks = options.cloud === undefined ? [] : [readNotices(options.cloud)]

  return {
    update,
    close: async () => {
      stop.abort()
      await Promise.all([...tasks, ...watchTasks.values()])
    }
  }
}
