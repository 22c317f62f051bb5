/**
 * Evaluates the new version of one move on one node, by the node's own attempts
 * and by the sum of all nodes' reports. A detected regression applies the brake,
 * which is permanent for the move.
 */
import { createAttemptCountsTable } from './attempt-counts.ts'
import { latencyBucketOf } from './latency-buckets.ts'
import { createLatencyClassifier } from './latency-classifier.ts'
import { createPromotionAnalysis } from './promotion.ts'
import { createRegressionDetector } from './regression-detector.ts'
import type { AttemptObservation } from './attempt-observation.ts'
import type { NodeId, VersionId } from '../ids/index.ts'
import type { AttemptCounts, AttemptCountsTable } from './attempt-counts.ts'
import type { PromotionAnalysis } from './promotion.ts'
import type { RegressionDetector } from './regression-detector.ts'
import type { LatencyClassifier } from './latency-classifier.ts'
import type { LatencyKind, RegressionEvidence, MoveRecord } from './types.ts'

/** Number of failed requests that are remembered, so that the retries of one request count once. */
const maxFailedRequests = 5_000
/** Longest time for which attempts that were drawn at an earlier, larger share may still be running. */
const maxAttemptMs = 120_000
/** Number of detectors for sums; each node has another one for its own attempts. */
const summingDetectors = 3

/** Options of a canary analysis. */
export interface CanaryAnalysisOptions {
  node: NodeId
  record: MoveRecord
  nodes: number
  routes: number
  onBrake: (evidence: RegressionEvidence) => void
  /** Attempts from before the move. */
  history?: readonly AttemptCounts[]
}

/** A latency of one attempt, recorded as soon as it is known. */
export interface LatencyObservation {
  route: string
  version: VersionId
  kind: LatencyKind
  latencyMs: number
  /** Whether the attempt ended before the latency was complete. */
  isLowerBound: boolean
}

/** The evaluation of one move on one node. */
export interface CanaryAnalysis {
  readonly record: MoveRecord
  /** Records an attempt that ended while the new version had the given share of the traffic. */
  recordAttempt: (observation: AttemptObservation, share: number, nowMs: number) => void
  /** Records a latency of an attempt that may still be running; `recordAttempt` then gets no latencies. */
  recordLatency: (observation: LatencyObservation, share: number, nowMs: number) => void
  /** Counts of this node's own attempts. */
  counts: () => AttemptCounts[]
  /** Adds the latest counts of a peer, or of this node, to the sum; `source` names the process, since counts begin anew with it. */
  addReport: (source: string, counts: readonly AttemptCounts[], nowMs: number) => void
  attemptsOn: RegressionDetector['attemptsOn']
  canaryAttempts: RegressionDetector['canaryAttempts']
  /** Whether the sum over all nodes shows that the new version may take over. */
  promotionVerdict: PromotionAnalysis['verdict']
  /** Whether the sum has so many bad answers of the new version that it must not get more, even if the old one does no better. */
  hasTooManyBad: PromotionAnalysis['hasTooManyBad']
  answersWellAlone: PromotionAnalysis['answersWellAlone']
  isDoubtful: RegressionDetector['isDoubtful']
  totals: RegressionDetector['totals']
  brake: () => RegressionEvidence | undefined
  applyBrake: (evidence: RegressionEvidence) => void
}

/** Counts that are evaluated together: those of this node, or the sum over all nodes. */
interface Evaluation {
  detector: RegressionDetector
  classifier: LatencyClassifier
}

/** Creates the analysis of a move whose new version has traffic. */
export function createCanaryAnalysis (options: CanaryAnalysisOptions): CanaryAnalysis {
  const { record, node } = options
  const detectorOptions = {
    node,
    detectors: options.nodes + summingDetectors,
    routes: options.routes,
    trafficAtMs: record.trafficAtMs ?? record.startedAtMs,
    deadlineAtMs: record.deadlineAtMs
  }
  const own: Evaluation = { detector: createRegressionDetector(detectorOptions), classifier: createLatencyClassifier() }
  const sum: Evaluation = { detector: createRegressionDetector(detectorOptions), classifier: createLatencyClassifier() }
  const promotion = createPromotionAnalysis({ startAtMs: record.trafficAtMs ?? record.startedAtMs, deadlineAtMs: record.deadlineAtMs })
  const counts = createAttemptCountsTable()
  const reported = new Map<string, AttemptCountsTable>()
  const failedRequests = new Set<string>()
  let largestShare = { share: 0, atMs: 0 }
  let brake: RegressionEvidence | undefined

  function applyBrake (evidence: RegressionEvidence): void {
    if (brake !== undefined) return
    brake = evidence
    options.onBrake(evidence)
  }

  /** The largest share at which an attempt that ends now may have been drawn; too large a share only weakens the evidence. */
  function drawnShare (share: number, nowMs: number): number {
    if (share >= largestShare.share || nowMs - largestShare.atMs > maxAttemptMs) largestShare = { share, atMs: nowMs }
    return largestShare.share
  }

  function isCounted ({ ok, request }: AttemptObservation): boolean {
    if (ok || request === undefined) return true
    if (failedRequests.has(request)) return false
    if (failedRequests.size >= maxFailedRequests) failedRequests.clear()
    failedRequests.add(request)
    return true
  }

  function evaluate ({ detector, classifier }: Evaluation, delta: AttemptCounts, nowMs: number): void {
    // Latencies from before the move are part of the comparison; other attempts from before it are not.
    if (delta.share === 0 && delta.latencyBucket === undefined) return
    const classified = delta.latencyBucket === undefined ? [delta] : classifier.add(delta)
    for (const counted of classified) {
      const regression = detector.add(counted, nowMs)
      if (regression !== undefined) applyBrake(regression)
    }
  }

  function count (delta: AttemptCounts, nowMs: number): void {
    counts.add(delta)
    evaluate(own, delta, nowMs)
  }

  function isNewVersion (version: VersionId): boolean | undefined {
    if (version === record.toVersion) return true
    return version === record.fromVersion ? false : undefined
  }

  function recordLatency ({ route, version, kind, latencyMs, isLowerBound }: LatencyObservation, share: number, nowMs: number): void {
    const isNew = isNewVersion(version)
    if (isNew === undefined) return
    count({
      route,
      kind,
      share: drawnShare(share, nowMs),
      latencyBucket: latencyBucketOf(latencyMs),
      ...(isLowerBound ? { isLowerBound } : {}),
      newBad: 0,
      oldBad: 0,
      newTotal: isNew ? 1 : 0,
      oldTotal: isNew ? 0 : 1
    }, nowMs)
  }

  function recordAttempt (observation: AttemptObservation, share: number, nowMs: number): void {
    const { route, version, ok, firstTokenMs, betweenTokensMs } = observation
    const isNew = isNewVersion(version)
    if (isNew === undefined || !isCounted(observation)) return
    const bad = ok ? 0 : 1
    count({
      route,
      kind: 'failing',
      share: drawnShare(share, nowMs),
      newBad: isNew ? bad : 0,
      oldBad: isNew ? 0 : bad,
      newTotal: isNew ? 1 : 0,
      oldTotal: isNew ? 0 : 1
    }, nowMs)
    if (!ok) return
    if (firstTokenMs !== undefined) recordLatency({ route, version, kind: 'first-token-slow', latencyMs: firstTokenMs, isLowerBound: false }, share, nowMs)
    if (betweenTokensMs !== undefined) recordLatency({ route, version, kind: 'between-tokens-slow', latencyMs: betweenTokensMs, isLowerBound: false }, share, nowMs)
  }

  function addReport (source: string, later: readonly AttemptCounts[], nowMs: number): void {
    const table = reported.get(source) ?? createAttemptCountsTable()
    reported.set(source, table)
    for (const delta of table.mergeReport(later)) {
      evaluate(sum, delta, nowMs)
      promotion.add(delta, nowMs)
    }
  }

  for (const delta of options.history ?? []) count(delta, record.startedAtMs)

  const { attemptsOn, canaryAttempts, isDoubtful, totals } = sum.detector
  return {
    record,
    recordAttempt,
    recordLatency,
    counts: counts.all,
    addReport,
    attemptsOn,
    canaryAttempts,
    promotionVerdict: promotion.verdict,
    hasTooManyBad: promotion.hasTooManyBad,
    answersWellAlone: promotion.answersWellAlone,
    isDoubtful,
    totals,
    brake: () => brake,
    applyBrake
  }
}
