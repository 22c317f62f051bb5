/** The backend servers that other nodes can't reach, as this node learns of them from reports. */
import type { Clock } from '../clock/index.ts'
import type { BackendId, NodeId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { SuspectCounts } from '../node-reports/types.ts'

/** Options of the suspicions of other nodes. */
export interface PeerSuspectsOptions {
  clock: Clock
  log: Log
  /** The service of a backend server; undefined if it isn't registered. */
  serviceOf: (backend: BackendId) => string | undefined
}

/** Suspicions of other nodes. */
export interface PeerSuspects {
  /** Replaces what another node, or a collector for several, reports. */
  set: (source: NodeId, suspects: ReadonlyMap<BackendId, SuspectCounts>) => void
  /** The current counts over all sources. */
  counts: () => Map<BackendId, SuspectCounts>
}

/** Number of other nodes that must suspect a backend server before this node does; the connection of a single node may be the cause. */
const minSuspectingNodes = 2
/** Age up to which the suspicions of other nodes count; several of their report intervals. */
const maxPeerSuspectAgeMs = 1_500

/** Whether the counts are a reason to avoid a backend server. */
export function isSuspectedByPeers (counts: SuspectCounts | undefined): boolean {
  return counts !== undefined && counts.suspecting >= minSuspectingNodes && counts.hearing === 0
}

/** Creates the suspicions of other nodes without any. */
export function createPeerSuspects ({ clock, log, serviceOf }: PeerSuspectsOptions): PeerSuspects {
  const bySource = new Map<NodeId, { suspects: ReadonlyMap<BackendId, SuspectCounts>, receivedAtMs: number }>()
  /** Backend servers that are avoided, as last logged. */
  const avoided = new Set<BackendId>()

  function countAll (): Map<BackendId, SuspectCounts> {
    const oldestAtMs = clock.monotonicMs() - maxPeerSuspectAgeMs
    const counts = new Map<BackendId, SuspectCounts>()
    for (const { suspects, receivedAtMs } of bySource.values()) {
      if (receivedAtMs < oldestAtMs) continue
      for (const [id, { suspecting, hearing }] of suspects) {
        const sum = counts.get(id) ?? { suspecting: 0, hearing: 0 }
        counts.set(id, { suspecting: sum.suspecting + suspecting, hearing: sum.hearing + hearing })
      }
    }
    return counts
  }

  function logChanges (): void {
    const counts = countAll()
    for (const [id, count] of counts) {
      const service = serviceOf(id)
      if (service === undefined || avoided.has(id) || !isSuspectedByPeers(count)) continue
      avoided.add(id)
      log('backendAvoided', { backend: id, service, avoided: true, ...count })
    }
    for (const id of avoided) {
      const count = counts.get(id)
      if (isSuspectedByPeers(count)) continue
      avoided.delete(id)
      log('backendAvoided', { backend: id, service: serviceOf(id), avoided: false, ...count })
    }
  }

  return {
    set: (source, suspects) => {
      if (suspects.size === 0) bySource.delete(source)
      else bySource.set(source, { suspects, receivedAtMs: clock.monotonicMs() })
      logChanges()
    },
    counts: countAll
  }
}
