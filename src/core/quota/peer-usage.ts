/** What the other nodes reported of their usage, and a moving average of what they are asked for. */
import type { Clock } from '../clock/index.ts'
import type { NodeId, TeamId } from '../ids/index.ts'
import type { QuotaUsage } from './types.ts'

/** A team's usage in the last report of a source. */
interface PeerTeamUsage extends QuotaUsage {
  /** Moving average of the tokens that the source is asked for; an exact bucket doesn't need it. */
  askedPerSecond?: number
}

/** The last report of one source: a node, or a collector with the totals of several. */
export interface PeerReport {
  bootId: string
  /** Monotonic times of the first report of this boot and of this one. */
  firstReceivedAtMs: number
  receivedAtMs: number
  teams: ReadonlyMap<TeamId, PeerTeamUsage>
}

/** Options of the usage of other nodes. */
export interface PeerUsageOptions {
  clock: Clock
  /** Whether the averages are computed. */
  countsAsked: boolean
}

/** The usage of other nodes. */
export interface PeerUsage {
  /** Replaces the report of a source and returns the one before, if it was of the same process. */
  replace: (node: NodeId, bootId: string, taken: ReadonlyMap<TeamId, QuotaUsage>) => PeerReport | undefined
  /** Tokens a second that the sources of recent reports are asked for. */
  askedPerSecond: (team: TeamId) => number
}

const secondMs = 1_000
/** Time constant of the moving average of what nodes are asked for. */
const askedTimeConstantMs = 1_000
/** Age from which a report no longer tells what its source is asked for; several report intervals. */
const maxReportAgeMs = 1_500

/** Creates the usage of other nodes, without reports. */
export function createPeerUsage ({ clock, countsAsked }: PeerUsageOptions): PeerUsage {
  const reports = new Map<NodeId, PeerReport>()

  function replace (node: NodeId, bootId: string, taken: ReadonlyMap<TeamId, QuotaUsage>): PeerReport | undefined {
    const nowMs = clock.monotonicMs()
    const known = reports.get(node)
    const previous = known?.bootId === bootId ? known : undefined
    const firstReceivedAtMs = previous?.firstReceivedAtMs ?? nowMs
    const teams = countsAsked ? withAverages(taken, previous, firstReceivedAtMs, nowMs) : taken
    reports.set(node, { bootId, firstReceivedAtMs, receivedAtMs: nowMs, teams })
    return previous
  }

  function askedPerSecond (team: TeamId): number {
    const oldestAtMs = clock.monotonicMs() - maxReportAgeMs
    let perSecond = 0
    for (const { teams, receivedAtMs } of reports.values()) {
      if (receivedAtMs >= oldestAtMs) perSecond += teams.get(team)?.askedPerSecond ?? 0
    }
    return perSecond
  }

  return { replace, askedPerSecond }
}

function withAverages (taken: ReadonlyMap<TeamId, QuotaUsage>, previous: PeerReport | undefined, firstReceivedAtMs: number, nowMs: number): Map<TeamId, PeerTeamUsage> {
  const intervalMs = previous === undefined ? 0 : nowMs - previous.receivedAtMs
  // The first reports of a source have a larger weight, or the average would begin far too low.
  const weight = Math.max(1 - Math.exp(-intervalMs / askedTimeConstantMs), intervalMs / Math.max(1, nowMs - firstReceivedAtMs))
  const teams = new Map<TeamId, PeerTeamUsage>()
  for (const [team, { quota, tolerance, asked }] of taken) {
    const before = previous?.teams.get(team)
    const averagePerSecond = before?.askedPerSecond ?? 0
    const latestPerSecond = intervalMs === 0 ? averagePerSecond : (asked - (before?.asked ?? asked)) / intervalMs * secondMs
    teams.set(team, { quota, tolerance, asked, askedPerSecond: averagePerSecond + weight * (latestPerSecond - averagePerSecond) })
  }
  return teams
}
