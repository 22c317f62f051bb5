/**
 * Tracks the load of backend servers: the last load report of each, corrected by
 * the attempts that this node has sent and seen end since then.
 */
import type { LoadReport } from '../backends/types.ts'
import type { AttemptId, BackendId, NodeId } from '../ids/index.ts'
import type { PeerLoad } from './types.ts'

/** Weight of the newest sample in the moving average of the time for which a request occupies a slot. */
const slotTimeWeight = 0.1

/** Weight of the newest attempt in the failure ratio. */
const failureWeight = 0.25
/** Half-life of the failure ratio. The decay makes a failing backend server eligible again. */
const failureHalfLifeMs = 5000

/** Weight of the newest attempt in a backend server's latency ratio. */
const latencyRatioWeight = 0.3
/** Half-life of a latency ratio's deviation from 1. The decay makes a slow backend server eligible again. */
const latencyRatioHalfLifeMs = 4_000
/** Shortest expected time that yields a latency sample; below it, one lost packet would dominate the ratio. */
const minExpectedFirstTokenMs = 20
/** Bounds of a latency ratio and of each of its samples. */
const minLatencyRatio = 0.5
const maxLatencyRatio = 8

/** An attempt of this node that hasn't ended. */
export interface OpenAttempt {
  backend: BackendId
  /** Time to the first token that was expected when the attempt was sent, including the correction by the latency ratio at that time; undefined if that ratio wasn't used. */
  expectedFirstTokenMs: number | undefined
  sentAtMs: number
  /** Prompt tokens that the engine has yet to compute; 0 once the first token has arrived. */
  pendingTokens: number
}

/** What this node knows of one backend server. */
interface BackendState {
  report: LoadReport | undefined
  open: Set<OpenAttempt>
  /** Attempts of this node that ended after the last load report. */
  ended: Array<{ sentAtMs: number, endedAtMs: number }>
  /** Moving average of the time for which a request occupies a slot; undefined until one has succeeded. */
  slotMs: number | undefined
  failureRatio: number
  failureRatioAtMs: number
  /** Recent ratio of the measured time to the first token to the time that is expected without the correction by this ratio. */
  latencyRatio: number
  latencyRatioAtMs: number
}

/** Estimated load of one backend server. */
export interface BackendLoad {
  /** Requests running and waiting there, including those of other nodes as last reported. */
  requests: number
  /** Requests of this node in flight there. */
  localRequests: number
  /** Prompt tokens, sent by this node or reported by its peers, that are yet to be computed. */
  pendingTokens: number
  /** Moving average of the time for which a request occupies a slot; undefined until one has succeeded. */
  slotMs: number | undefined
  /** Recent ratio of failed to all attempts of this node there, 0 to 1. */
  failureRatio: number
  /** Recent ratio of the measured time to the first token to the time that is expected without the correction by this ratio; 1 is normal. */
  latencyRatio: number
}

/** Tracks the load of all backend servers that this node uses. All times are wall times, because load reports carry wall times. */
export interface LoadTracker {
  read: (backend: BackendId, nowMs: number) => BackendLoad
  recordSent: (attempt: AttemptId, backend: BackendId, pendingTokens: number, expectedFirstTokenMs: number | undefined, nowMs: number) => void
  recordFirstToken: (attempt: AttemptId, nowMs: number) => void
  recordEnded: (attempt: AttemptId, failed: boolean, nowMs: number) => void
  recordReport: (report: LoadReport) => void
  setPeerLoads: (from: NodeId, loads: ReadonlyMap<BackendId, PeerLoad>) => void
  localLoads: () => Map<BackendId, PeerLoad>
  removeBackend: (backend: BackendId) => void
}

/** Creates an empty load tracker. */
export function createLoadTracker (): LoadTracker {
  const stateByBackend = new Map<BackendId, BackendState>()
  const attempts = new Map<AttemptId, OpenAttempt>()
  const peers = new Map<NodeId, ReadonlyMap<BackendId, PeerLoad>>()

  function peerLoadOf (backend: BackendId): PeerLoad {
    const sum = { requests: 0, pendingTokens: 0 }
    for (const loads of peers.values()) {
      const load = loads.get(backend)
      sum.requests += load?.requests ?? 0
      sum.pendingTokens += load?.pendingTokens ?? 0
    }
    return sum
  }

  function pendingTokensOf ({ open }: BackendState): number {
    let sum = 0
    for (const attempt of open) sum += attempt.pendingTokens
    return sum
  }

  function localLoads (): Map<BackendId, PeerLoad> {
    const loads = new Map<BackendId, PeerLoad>()
    for (const [backend, state] of stateByBackend) {
      if (state.open.size > 0) loads.set(backend, { requests: state.open.size, pendingTokens: pendingTokensOf(state) })
    }
    return loads
  }

  function stateOf (backend: BackendId): BackendState {
    const known = stateByBackend.get(backend)
    if (known !== undefined) return known
    const created: BackendState = { report: undefined, open: new Set(), ended: [], slotMs: undefined, failureRatio: 0, failureRatioAtMs: 0, latencyRatio: 1, latencyRatioAtMs: 0 }
    stateByBackend.set(backend, created)
    return created
  }

  function requestsAt (state: BackendState): number {
    const { report, open, ended } = state
    if (report === undefined) return open.size
    const sentSince = [...open].filter(({ sentAtMs }) => sentAtMs > report.reportedAtMs).length
    const endedSince = ended.filter(({ sentAtMs }) => sentAtMs <= report.reportedAtMs).length
    return Math.max(open.size, report.running + report.waiting + sentSince - endedSince)
  }

  function failureRatioAt (state: BackendState, nowMs: number): number {
    return state.failureRatio * 0.5 ** ((nowMs - state.failureRatioAtMs) / failureHalfLifeMs)
  }

  function read (backend: BackendId, nowMs: number): BackendLoad {
    const state = stateByBackend.get(backend)
    const peerLoad = peerLoadOf(backend)
    if (state === undefined) return { ...peerLoad, localRequests: 0, slotMs: undefined, failureRatio: 0, latencyRatio: 1 }
    const failureRatio = failureRatioAt(state, nowMs)
    return {
      requests: requestsAt(state) + peerLoad.requests,
      localRequests: state.open.size,
      pendingTokens: pendingTokensOf(state) + peerLoad.pendingTokens,
      slotMs: state.slotMs,
      failureRatio,
      latencyRatio: latencyRatioAt(state, nowMs)
    }
  }

  function latencyRatioAt (state: BackendState, nowMs: number): number {
    return 1 + (state.latencyRatio - 1) * 0.5 ** ((nowMs - state.latencyRatioAtMs) / latencyRatioHalfLifeMs)
  }

  function updateLatencyRatio (state: BackendState, { expectedFirstTokenMs, sentAtMs }: OpenAttempt, nowMs: number): void {
    if (expectedFirstTokenMs === undefined || expectedFirstTokenMs < minExpectedFirstTokenMs) return
    const before = latencyRatioAt(state, nowMs)
    const sample = Math.min(maxLatencyRatio, Math.max(minLatencyRatio, (nowMs - sentAtMs) / expectedFirstTokenMs))
    // The expected time already contains the latency ratio (see cost.ts), so the product of sample and ratio relates the measured time to the uncorrected one.
    state.latencyRatio = before + latencyRatioWeight * (sample * before - before)
    state.latencyRatio = Math.min(maxLatencyRatio, Math.max(minLatencyRatio, state.latencyRatio))
    state.latencyRatioAtMs = nowMs
  }

  function recordSent (attempt: AttemptId, backend: BackendId, pendingTokens: number, expectedFirstTokenMs: number | undefined, nowMs: number): void {
    const openAttempt = { backend, sentAtMs: nowMs, pendingTokens, expectedFirstTokenMs }
    attempts.set(attempt, openAttempt)
    stateOf(backend).open.add(openAttempt)
  }

  function recordFirstToken (attempt: AttemptId, nowMs: number): void {
    const openAttempt = attempts.get(attempt)
    if (openAttempt === undefined) return
    openAttempt.pendingTokens = 0
    const state = stateByBackend.get(openAttempt.backend)
    if (state !== undefined) updateLatencyRatio(state, openAttempt, nowMs)
  }

  function updateFailureRatio (state: BackendState, failed: boolean, nowMs: number): void {
    const before = failureRatioAt(state, nowMs)
    state.failureRatio = before + failureWeight * ((failed ? 1 : 0) - before)
    state.failureRatioAtMs = nowMs
  }

  function recordEnded (attempt: AttemptId, failed: boolean, nowMs: number): void {
    const openAttempt = attempts.get(attempt)
    if (openAttempt === undefined) return
    attempts.delete(attempt)
    const state = stateByBackend.get(openAttempt.backend)
    if (state === undefined) return
    state.open.delete(openAttempt)
    if (state.report !== undefined) state.ended.push({ sentAtMs: openAttempt.sentAtMs, endedAtMs: nowMs })
    updateFailureRatio(state, failed, nowMs)
    // Failures are often immediate, so their duration isn't a sample of the time for which a request occupies a slot.
    if (failed) return
    const durationMs = Math.max(0, nowMs - openAttempt.sentAtMs)
    const before = state.slotMs ?? durationMs
    state.slotMs = before + slotTimeWeight * (durationMs - before)
  }

  function recordReport (report: LoadReport): void {
    const state = stateOf(report.backend)
    if (state.report !== undefined && state.report.reportedAtMs > report.reportedAtMs) return
    state.report = report
    state.ended = state.ended.filter(({ endedAtMs }) => endedAtMs > report.reportedAtMs)
  }

  function setPeerLoads (from: NodeId, loads: ReadonlyMap<BackendId, PeerLoad>): void {
    if (loads.size === 0) peers.delete(from)
    else peers.set(from, loads)
  }

  return { read, recordSent, recordFirstToken, recordEnded, recordReport, setPeerLoads, localLoads, removeBackend: backend => { stateByBackend.delete(backend) } }
}
