/**
 * Keeps the table of backend servers and the router's knowledge of them fresh:
 * one task reads the instance list, one the cloud's notices, and one for each
 * engine of this node's subset its load and cache events.
 */
import type { BackendTable } from '../backends/table.ts'
import type { Backend, EngineClient } from '../backends/types.ts'
import type { Clock } from '../clock/index.ts'
import type { BackendId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Cloud } from '../platform/cloud/index.ts'
import type { InstanceList } from '../platform/instance-list/index.ts'
import type { Router } from '../routing/index.ts'

const listIntervalMs = 1_000
const noticeIntervalMs = 500
const engineIntervalMs = 500
/** Longest wait for one answer. */
const answerMs = 2_000
/** Most engines that one node follows; requests to others rely on what their answers show. */
const maxFollowedEngines = 32

/** What the tasks need. */
export interface WatchBackendsOptions {
  clock: Clock
  log: Log
  metrics: Metrics
  table: BackendTable
  router: Router
  instanceList: InstanceList
  /** Left out where no cloud is configured; notices then come from the list and the servers. */
  cloud: Cloud | undefined
}

/** The running tasks. */
export interface BackendWatch {
  /** Resolves once the list was read for the first time. */
  firstList: Promise<void>
  close: () => Promise<void>
}

/** Starts the tasks. */
export function watchBackends (options: WatchBackendsOptions): BackendWatch {
  const { clock, table } = options
  const stop = new AbortController()
  const followed = new Map<BackendId, Promise<void>>()
  let resolveFirst = (): void => {}
  const firstList = new Promise<void>(resolve => { resolveFirst = resolve })

  async function readList (): Promise<void> {
    while (!stop.signal.aborted) {
      const listing = await options.instanceList.read(clock.wallMs() + answerMs)
      if (listing.isOk && !stop.signal.aborted) {
        table.update(listing.value.backends)
        followEngines()
        resolveFirst()
      } else {
        options.metrics.count('instance_list_failures_total')
      }
      await clock.sleep(listIntervalMs, stop.signal)
    }
  }

  async function readNotices (cloud: Cloud): Promise<void> {
    let sequence = 0
    while (!stop.signal.aborted) {
      const notices = await cloud.notices(sequence, clock.wallMs() + answerMs)
      for (const notice of notices.isOk ? notices.value : []) {
        sequence = Math.max(sequence, notice.sequence)
        const backend = table.all().find(other => other.instance === notice.instance)
        if (backend !== undefined) table.learnLeaving(backend.id, notice.goneAtMs)
      }
      await clock.sleep(noticeIntervalMs, stop.signal)
    }
  }

  function followEngines (): void {
    for (const backend of table.all()) {
      const engine = table.engineOf(backend.id)
      if (engine === undefined || followed.has(backend.id) || followed.size >= maxFollowedEngines) continue
      followed.set(backend.id, followEngine(backend, engine).finally(() => followed.delete(backend.id)))
    }
  }

  async function followEngine (backend: Backend, engine: EngineClient): Promise<void> {
    let sequence = 0
    while (!stop.signal.aborted && table.engineOf(backend.id) === engine) {
      const deadlineAtMs = clock.wallMs() + answerMs
      const [load, events] = await Promise.all([engine.load(deadlineAtMs), engine.cacheEvents(sequence, deadlineAtMs)])
      if (load.isOk) options.router.onLoad({ ...load.value, backend: backend.id })
      if (events.isOk && events.value.length > 0) {
        sequence = events.value.at(-1)?.sequence ?? sequence
        options.router.onCacheEvents(backend.id, events.value)
      }
      await clock.sleep(engineIntervalMs, stop.signal)
    }
  }

  const tasks = [readList(), ...(options.cloud === undefined ? [] : [readNotices(options.cloud)])]

  return {
    firstList,
    close: async () => {
      stop.abort()
      await Promise.all([...tasks, ...followed.values()])
    }
  }
}
