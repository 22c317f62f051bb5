/** The totals of all nodes' measured speeds, as a collector maintains them. */
import { createRotation, createSpeedStore, readReport } from './speed-store.ts'
import type { Clock } from '../clock/index.ts'
import type { NodeId } from '../ids/index.ts'
import type { SpeedReport } from './types.ts'

/** The totals at one collector. */
export interface SpeedTotals {
  /** Replaces the reported sums of a node. Reports of earlier releases have none. */
  record: (node: NodeId, bootId: string, report: SpeedReport | undefined) => void
  remove: (node: NodeId) => void
  /** The next part of the totals of all nodes except one; as many as possible for a node that has just started. */
  totalsExcept: (node: NodeId) => SpeedReport
}

/** Time for which the list of all servers is used again; half a report interval. */
const keysCacheMs = 100

/** Creates empty totals. */
export function createSpeedTotals (clock: Clock): SpeedTotals {
  const store = createSpeedStore(clock)
  const receivers = new Map<NodeId, { bootId: string, rotate: ReturnType<typeof createRotation>, isNew: boolean }>()
  let serverKeys: string[] = []
  let keysUntilMs = -Infinity

  /** The same for all nodes, so that a collector of hundreds doesn't go through all servers for each digest. */
  function allServerKeys (): string[] {
    if (clock.monotonicMs() < keysUntilMs) return serverKeys
    keysUntilMs = clock.monotonicMs() + keysCacheMs
    serverKeys = store.servers.keys()
    return serverKeys
  }

  function totalsExcept (node: NodeId): SpeedReport {
    const receiver = receivers.get(node)
    const keys = receiver?.rotate(allServerKeys(), receiver.isNew) ?? []
    if (receiver !== undefined) receiver.isNew = false
    return readReport(keys, store.services.keys(), { server: key => store.servers.total(key, node), service: name => store.services.total(name, node) })
  }

  return {
    record: (node, bootId, report) => {
      if (receivers.get(node)?.bootId !== bootId) receivers.set(node, { bootId, rotate: createRotation(), isNew: true })
      if (report !== undefined) store.merge(node, report)
    },
    remove: node => {
      receivers.delete(node)
      store.removeSource(node)
    },
    totalsExcept
  }
}
