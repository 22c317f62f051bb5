/**
 * Quotas of a node in a cluster with collectors. The collector whose digests a node uses
 * decides about requests of teams that are near their limit, from a ledger: buckets from which
 * it subtracts what it grants at once, and what nodes admitted without it as soon as they report
 * it. Nodes report granted tokens as usage, too, so that the standby's ledger has them when it
 * takes over; a collector leaves out those that it granted itself. Without a response a node
 * decides alone, and a grant that arrives later is given back with the next report.
 */
import { toId } from '../ids/index.ts'
import { createQuotas } from './node-quotas.ts'
import type { NodeId, TeamId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { NodeQuotaReport, QuotaDecider, QuotaDecision, QuotaGrants, QuotaLevels, QuotaLimit, QuotaOptions, QuotaReport, QuotaRequest, QuotaUsage, Quotas } from './types.ts'

/** Options of the quotas of a node in a cluster. */
export interface ClusterQuotasOptions extends QuotaOptions {
  log: Log
  metrics: Metrics
  node: NodeId
  bootId: string
  limitOf: (team: TeamId) => QuotaLimit | undefined
  /** Which node decides now. */
  decider: () => QuotaDecider
  /** Sends a request to the collector. */
  sendRequest: (request: QuotaRequest) => void
}

/** The quotas of a node in a cluster. */
export interface ClusterQuotas extends Omit<Quotas, 'take'> {
  /** Takes tokens, after a request to the collector if necessary. Returns 0 on success, otherwise the delay in milliseconds after which they may be available. */
  take: (team: TeamId, limit: QuotaLimit, tokens: number) => number | Promise<number>
  /** What collectors granted to this node, for its reports. */
  grants: () => QuotaGrants
  /** Must be called with this node's own report before it is sent, and with every report that it receives. */
  onNodeReport: (report: NodeQuotaReport) => void
  /** Decides as the collector about another node's request. */
  decide: (request: QuotaRequest) => QuotaDecision
  /** Must be called with each response of a collector. */
  onDecision: (decision: QuotaDecision) => void
}

/** Time after which a node decides alone; several times the usual round trip. */
const requestTimeoutMs = 100
/** Maximum number of requests to the collector without a response at one node. */
const maxPending = 512
/** Number of unanswered requests whose late responses are still recognized. */
const maxUnanswered = 4_096
/** Number of collectors whose grants a node reports: those of a change, and of a change back. */
const maxGrantors = 4
/** Number of reports of a process during which its usage lies in the last 8 s, so that it counts although none was received before. */
const youngReports = 40
/** Time without a report after which the ledger is outdated, because other nodes were collectors. */
const ledgerExpiryMs = 2_000
/** Interval at which requests without a response are logged; the metric counts all of them. */
const aloneLogIntervalMs = 1_000

const nothing: QuotaLevels = { quota: 0, tolerance: 0 }

interface Ledger {
  quotas: Quotas
  /** Nodes that have reported to it. */
  nodes: Set<NodeId>
}

/** Creates the quotas of a node in a cluster. Without collectors each node decides by itself, as `createQuotas` does. */
export function createClusterQuotas (options: ClusterQuotasOptions): ClusterQuotas {
  const { clock, log, metrics, node, bootId, decider, limitOf } = options
  const startedAtMs = clock.monotonicMs()
  const quotas = createQuotas({ ...options, keepsReserve: () => isFirstWindow() && decider() !== 'each-node' })
  const windowMs = options.tolerance?.windowMs ?? 0
  const copyId = toId<NodeId>(`${node}/copy`)
  let ledger: Ledger | undefined
  let ledgerFedAtMs = -Infinity
  let hasCountedDigest = false
  let requestNumber = 0
  const pending = new Map<number, (decision: QuotaDecision) => void>()
  const unanswered = new Map<number, TeamId>()
  const grants = new Map<string, Map<TeamId, QuotaLevels>>()
  /** What this collector granted to other nodes and to itself, as far as they have reported it. */
  const reportedGrants = new Map<NodeId, { bootId: string, byTeam: ReadonlyMap<TeamId, QuotaLevels> }>()
  let aloneLoggedAtMs = -Infinity
  let aloneCount = 0

  function isFirstWindow (): boolean {
    return options.hasFullBuckets && clock.monotonicMs() < startedAtMs + windowMs
  }

  /** The ledger, which begins with this node's copy of the levels when it has none that is current. */
  function currentLedger (): Ledger {
    const isCurrent = clock.monotonicMs() < ledgerFedAtMs + ledgerExpiryMs
    if (ledger !== undefined && isCurrent) return ledger
    const levels = isFirstWindow() ? new Map<TeamId, QuotaLevels>() : quotas.levels()
    ledger = { quotas: createQuotas({ ...options, isExact: true, hasFullBuckets: levels !== undefined, onBucketCreated: () => {} }), nodes: new Set() }
    ledgerFedAtMs = clock.monotonicMs()
    if (levels !== undefined) ledger.quotas.onPeerReport({ source: copyId, bootId, usage: new Map(), levels, isFirst: true })
    return ledger
  }

  function onNodeReport ({ node: source, bootId: sourceBootId, sequence, quotaUsage, quotaLevels, quotaGrants }: NodeQuotaReport): void {
    if (decider() === 'each-node') return
    const isOwn = source === node
    // The own report alone doesn't keep the ledger current.
    if (isOwn && (ledger === undefined || clock.monotonicMs() >= ledgerFedAtMs + ledgerExpiryMs)) return
    const { quotas: ledgerQuotas, nodes } = currentLedger()
    if (!isOwn) ledgerFedAtMs = clock.monotonicMs()
    const granted = quotaGrants?.get(bootId)
    const before = reportedGrants.get(source)
    if (granted !== undefined || before?.bootId !== sourceBootId) reportedGrants.set(source, { bootId: sourceBootId, byTeam: granted ?? new Map() })
    const usage = withoutGrants(quotaUsage, reportedGrants.get(source)?.byTeam)
    const isFirst = !nodes.has(source) && sequence > youngReports
    nodes.add(source)
    ledgerQuotas.onPeerReport({ source, bootId: sourceBootId, usage, levels: isOwn ? undefined : quotaLevels, isFirst })
  }

  function onPeerReport (report: QuotaReport): void {
    const by = decider()
    // At the first start of all nodes, everything in a first report was admitted since, and the window contains it.
    const isCounted = by !== 'each-node' && isFirstWindow() && (by === 'this-node' || !hasCountedDigest)
    if (by !== 'each-node' && by !== 'this-node') hasCountedDigest = true
    quotas.onPeerReport(isCounted ? { ...report, isFirst: false } : report)
  }

  /** Takes tokens from the ledger. */
  function takeFromLedger (team: TeamId, limit: QuotaLimit, tokens: number): { granted: QuotaLevels, waitMs: number } {
    const { quotas: ledgerQuotas } = currentLedger()
    const before = ledgerQuotas.localUsage().get(team) ?? nothing
    const waitMs = ledgerQuotas.take(team, limit, tokens)
    const after = ledgerQuotas.localUsage().get(team) ?? nothing
    metrics.count('quota_decisions_total', { result: waitMs === 0 ? 'granted' : 'refused' })
    return { granted: { quota: after.quota - before.quota, tolerance: after.tolerance - before.tolerance }, waitMs }
  }

  function recordGrantOf (collectorBootId: string, team: TeamId, granted: QuotaLevels): void {
    const byTeam = grants.get(collectorBootId) ?? new Map<TeamId, QuotaLevels>()
    // The collector that granted last is the last one in the map.
    grants.delete(collectorBootId)
    grants.set(collectorBootId, byTeam)
    const total = byTeam.get(team) ?? nothing
    byTeam.set(team, { quota: total.quota + granted.quota, tolerance: total.tolerance + granted.tolerance })
    if (grants.size > maxGrantors) grants.delete(grants.keys().next().value as string)
  }

  function settle (team: TeamId, limit: QuotaLimit, tokens: number, collectorBootId: string, granted: QuotaLevels, waitMs: number): number {
    if (waitMs > 0) return Math.max(waitMs, quotas.recordRefusal(team, limit, tokens))
    recordGrantOf(collectorBootId, team, granted)
    quotas.recordGrant(team, limit, granted, tokens)
    return 0
  }

  function take (team: TeamId, limit: QuotaLimit, tokens: number): number | Promise<number> {
    const by = decider()
    if (by === 'each-node') return quotas.take(team, limit, tokens)
    if (by === 'this-node') {
      const { granted, waitMs } = takeFromLedger(team, limit, tokens)
      return settle(team, limit, tokens, bootId, granted, waitMs)
    }
    if (by === 'unreachable' || pending.size >= maxPending) return quotas.takeAlone(team, limit, tokens)
    return quotas.takeAllowance(team, limit, tokens) ? 0 : takeFromCollector(team, limit, tokens)
  }

  async function takeFromCollector (team: TeamId, limit: QuotaLimit, tokens: number): Promise<number> {
    requestNumber += 1
    const number = requestNumber
    const received = new AbortController()
    let decision: QuotaDecision | undefined
    pending.set(number, answer => {
      decision = answer
      received.abort()
    })
    options.sendRequest({ node, bootId, number, team, tokens })
    await clock.sleep(requestTimeoutMs, received.signal)
    pending.delete(number)
    if (decision?.waitMs !== undefined) {
      metrics.count('quota_requests_total', { result: decision.waitMs === 0 ? 'granted' : 'refused' })
      return settle(team, limit, tokens, decision.bootId, decision.granted, decision.waitMs)
    }
    if (decision === undefined) onUnanswered(number, team)
    metrics.count('quota_requests_total', { result: decision === undefined ? 'unanswered' : 'undecided' })
    return quotas.takeAlone(team, limit, tokens)
  }

  function onUnanswered (number: number, team: TeamId): void {
    unanswered.set(number, team)
    if (unanswered.size > maxUnanswered) unanswered.delete(unanswered.keys().next().value as number)
    aloneCount += 1
    if (clock.monotonicMs() < aloneLoggedAtMs + aloneLogIntervalMs) return
    aloneLoggedAtMs = clock.monotonicMs()
    log('quotaUnanswered', { team, count: aloneCount })
    aloneCount = 0
  }

  function onDecision (decision: QuotaDecision): void {
    if (decision.requesterBootId !== bootId) return
    const resolve = pending.get(decision.number)
    if (resolve !== undefined) return resolve(decision)
    const team = unanswered.get(decision.number)
    if (team === undefined || decision.waitMs !== 0) return
    unanswered.delete(decision.number)
    // Reported as granted without usage, so that the collector gets it back.
    recordGrantOf(decision.bootId, team, decision.granted)
    metrics.count('quota_requests_total', { result: 'late' })
  }

  function decide ({ bootId: requesterBootId, number, team, tokens }: QuotaRequest): QuotaDecision {
    const limit = limitOf(team)
    if (limit === undefined) return { bootId, requesterBootId, number, granted: nothing, waitMs: undefined }
    return { bootId, requesterBootId, number, ...takeFromLedger(team, limit, tokens) }
  }

  return {
    ...quotas,
    take,
    grants: () => new Map([...grants].map(([collectorBootId, byTeam]) => [collectorBootId, new Map(byTeam)])),
    onPeerReport,
    explain: team => decider() === 'each-node' ? quotas.explain(team) : { ...quotas.explain(team), decider: decider() },
    onNodeReport,
    decide,
    onDecision
  }
}

/** Usage without what the receiver of the report granted itself. It decreases when a grant was not used. */
function withoutGrants (usage: ReadonlyMap<TeamId, QuotaUsage>, granted: ReadonlyMap<TeamId, QuotaLevels> = new Map()): ReadonlyMap<TeamId, QuotaUsage> {
  if (granted.size === 0) return usage
  const rest = new Map(usage)
  for (const [team, { quota, tolerance }] of granted) {
    const used = usage.get(team) ?? { quota: 0, tolerance: 0, asked: 0 }
    rest.set(team, { quota: used.quota - quota, tolerance: used.tolerance - tolerance, asked: used.asked })
  }
  return rest
}
