/** The policies that the model compares: the quarantine, none, and a count to three by digest. */
import { createSilentLog } from '../../../src/core/log/index.ts'
import { createMetrics } from '../../../src/core/metrics/index.ts'
import { createQuarantine } from '../../../src/core/quarantine/index.ts'
import { toId } from '../../../src/core/ids/index.ts'
import type { ManualClock } from '../../../src/core/clock/index.ts'
import type { BackendId, NodeId, RequestDigest, RequestFeature } from '../../../src/core/ids/index.ts'
import type { Admittance, CrashedAttempt, QuarantineRequest } from '../../../src/core/quarantine/index.ts'

export type PolicyName = 'quarantine' | 'none' | 'count-to-three'

/** A policy over all nodes. */
export interface Policy {
  admit: (node: number, request: QuarantineRequest) => Promise<Admittance>
  recordCrash: (node: number, crashed: CrashedAttempt) => void
  recordAnswer: (node: number, digest: RequestDigest) => void
  /** Called in each tick; `isDue` at the regular interval of reports. */
  exchange: (isDue: boolean) => void
  isRefusedByAll: (digest: RequestDigest) => boolean
  quarantined: () => RequestFeature[]
}

interface PolicyOptions {
  clock: ManualClock
  random: () => number
  nodeCount: number
}

const service = 'service'
/** From this number of nodes on, reports go through one collector, as in the product. */
const minCollectorNodes = 16
const maxCountedCrashes = 3

function createQuarantinePolicy ({ clock, random, nodeCount }: PolicyOptions): Policy {
  const usesCollector = nodeCount >= minCollectorNodes
  const urgent = new Set<number>()
  const nodes = Array.from({ length: nodeCount }, (_, index) => createQuarantine({
    clock,
    log: createSilentLog(),
    metrics: createMetrics(),
    random,
    nodeCount: () => nodeCount,
    reportDelayMs: () => usesCollector ? 500 : 300,
    isDeciding: () => !usesCollector || index === 0,
    onUrgent: () => { urgent.add(index) },
    claimTrial: async () => false
  }))
  const names = nodes.map((_, index) => toId<NodeId>(`node-${index}`))

  /** Lets some nodes report; a collector answers each with its digest. */
  function report (senders: readonly number[]): void {
    for (const from of senders) {
      const content = nodes[from]!.report()
      for (const [to, node] of nodes.entries()) if (to !== from && (!usesCollector || to === 0)) node.merge(names[from]!, content)
      if (usesCollector && from !== 0) nodes[from]!.merge(names[0]!, nodes[0]!.digestFor(names[from]!))
    }
  }

  return {
    admit: (node, request) => nodes[node]!.admit(request),
    recordCrash: (node, crashed) => nodes[node]!.recordCrash(crashed),
    recordAnswer: (node, digest) => nodes[node]!.recordAnswer(service, [digest]),
    exchange: isDue => {
      const senders = isDue ? [...nodes.keys()] : [...urgent]
      urgent.clear()
      report(senders)
    },
    isRefusedByAll: digest => nodes.every(node => node.find(service, [digest]) !== undefined),
    quarantined: () => [...new Set(nodes.flatMap(node => node.records().flatMap(({ features }) => features)))]
  }
}

/** Refuses what was in three crashes; without limits before, and known to all nodes at once. */
function createCountPolicy (maxCrashes: number): Policy {
  const crashes = new Map<RequestFeature, Set<BackendId>>()
  const isRefused = (digest: RequestFeature): boolean => (crashes.get(digest)?.size ?? 0) >= maxCrashes
  return {
    admit: async (_node, { features }) => features.some(isRefused)
      ? { kind: 'refused', reason: 'request-quarantined', detail: '', retryAtMs: 0 }
      : { kind: 'admitted', release: () => {} },
    recordCrash: (_node, { features, backend }) => {
      for (const feature of features) crashes.set(feature, new Set([...crashes.get(feature) ?? [], backend]))
    },
    recordAnswer: () => {},
    exchange: () => {},
    isRefusedByAll: isRefused,
    quarantined: () => [...crashes.keys()].filter(isRefused)
  }
}

/** Creates a policy. */
export function createPolicy (name: PolicyName, options: PolicyOptions): Policy {
  if (name === 'quarantine') return createQuarantinePolicy(options)
  return createCountPolicy(name === 'none' ? Infinity : maxCountedCrashes)
}
