/**
 * One move as one node lives it: what its own attempts show, what peers
 * report, and the brake, which stays once it is pulled.
 */
import { createCountsTable } from './counts.ts'
import { createJudge } from './judge.ts'
import { createSlowness } from './slowness.ts'
import type { AttemptEvidence } from './evidence.ts'
import type { NodeId } from '../ids/index.ts'
import type { CountsOfShare, CountsTable } from './counts.ts'
import type { Judge } from './judge.ts'
import type { Slowness } from './slowness.ts'
import type { BadnessEvidence, BadnessKind, MoveRecord } from './types.ts'

/** Requests whose failure is remembered, so that their retries count once. */
const maxFailedRequests = 5_000
/** Longest time that an attempt drawn at an earlier, larger share may still end. */
const attemptTailMs = 120_000
/** Judges at which sums are made; each node has one of its own besides. */
const summingJudges = 3

/** Options of a trial. */
export interface TrialOptions {
  node: NodeId
  record: MoveRecord
  nodes: number
  routes: number
  onBrake: (evidence: BadnessEvidence) => void
}

/** A move on one node. */
export interface Trial {
  readonly record: MoveRecord
  /** Takes in an attempt that ended while the new version had a share. */
  attempt: (evidence: AttemptEvidence, share: number, nowMs: number) => void
  /** The counts of this node's own attempts. */
  counts: () => CountsOfShare[]
  /** Takes in a peer's counts, or this node's own, for the sum. */
  addReport: (from: NodeId, counts: readonly CountsOfShare[], nowMs: number) => void
  seen: Judge['seen']
  attempts: Judge['attempts']
  isDoubtful: Judge['isDoubtful']
  brake: () => BadnessEvidence | undefined
  pullBrake: (evidence: BadnessEvidence) => void
}

/** Starts a trial; `record` has its time of first traffic. */
export function createTrial (options: TrialOptions): Trial {
  const { record, node } = options
  const judgeOptions = {
    node,
    judges: options.nodes + summingJudges,
    routes: options.routes,
    trafficAtMs: record.trafficAtMs ?? record.startedAtMs,
    deadlineAtMs: record.deadlineAtMs
  }
  const own = createJudge(judgeOptions)
  const sum = createJudge(judgeOptions)
  const counts = createCountsTable()
  const reported = new Map<NodeId, CountsTable>()
  const slowness = new Map<string, Slowness>()
  const failedRequests = new Set<string>()
  let largest = { share: 0, atMs: 0 }
  let brake: BadnessEvidence | undefined

  function pullBrake (evidence: BadnessEvidence): void {
    if (brake !== undefined) return
    brake = evidence
    options.onBrake(evidence)
  }

  /** The largest share at which an attempt that ends now can have been drawn; a larger one only lessens the evidence. */
  function drawnShare (share: number, nowMs: number): number {
    if (share >= largest.share || nowMs - largest.atMs > attemptTailMs) largest = { share, atMs: nowMs }
    return largest.share
  }

  function isCounted ({ ok, request }: AttemptEvidence): boolean {
    if (ok || request === undefined) return true
    if (failedRequests.has(request)) return false
    if (failedRequests.size >= maxFailedRequests) failedRequests.clear()
    failedRequests.add(request)
    return true
  }

  function slownessOf (route: string, kind: BadnessKind): Slowness {
    const key = `${kind}/${route}`
    const known = slowness.get(key) ?? createSlowness()
    slowness.set(key, known)
    return known
  }

  function attempt (evidence: AttemptEvidence, share: number, nowMs: number): void {
    const isNew = evidence.version === record.toVersion
    if (!isNew && evidence.version !== record.fromVersion) return
    if (!isCounted(evidence)) return
    const drawnAtShare = drawnShare(share, nowMs)
    const { route } = evidence

    function count (kind: BadnessKind, isBad: boolean): void {
      const bad = isBad ? 1 : 0
      const delta = {
        route,
        kind,
        share: drawnAtShare,
        newBad: isNew ? bad : 0,
        oldBad: isNew ? 0 : bad,
        newTotal: isNew ? 1 : 0,
        oldTotal: isNew ? 0 : 1
      }
      counts.add(delta)
      const badness = own.add(delta, nowMs)
      if (badness !== undefined) pullBrake(badness)
    }

    function countLatency (kind: BadnessKind, latencyMs: number | undefined): void {
      if (latencyMs === undefined) return
      const known = slownessOf(route, kind)
      const isSlow = known.isSlow(latencyMs)
      if (isSlow !== undefined) count(kind, isSlow)
      if (!isNew) known.learn(latencyMs)
    }

    count('failing', !evidence.ok)
    if (!evidence.ok) return
    countLatency('first-token-slow', evidence.firstTokenMs)
    countLatency('between-tokens-slow', evidence.betweenTokensMs)
  }

  function addReport (from: NodeId, later: readonly CountsOfShare[], nowMs: number): void {
    const table = reported.get(from) ?? createCountsTable()
    reported.set(from, table)
    for (const delta of table.advance(later)) {
      const badness = sum.add(delta, nowMs)
      if (badness !== undefined) pullBrake(badness)
    }
  }

  return { record, attempt, counts: counts.all, addReport, seen: sum.seen, attempts: sum.attempts, isDoubtful: sum.isDoubtful, brake: () => brake, pullBrake }
}
