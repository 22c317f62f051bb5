/**
 * Decides whether a stopping node takes a request: only one that it expects to
 * finish before it ends its connections, by the time that the answers of the
 * request's route took. All others are refused at once, so that their callers
 * can go to another node.
 */
import type { Clock } from '../clock/index.ts'

/** Number of answers of a route that are remembered. */
const rememberedAnswers = 256
/** With fewer answers, a request is expected to take all the time until its deadline. */
const minAnswers = 32
/** Factor on the longest remembered answer. */
const safetyFactor = 1.25

/** Options of the gate. */
export interface StopGateOptions {
  clock: Clock
  /** Monotonic time at which open requests are ended; undefined while the node isn't stopping. */
  endsAtMs: () => number | undefined
}

/** The gate of a node. */
export interface StopGate {
  /** Records that an answer of a route was delivered `tookMs` after its request had arrived. */
  recordAnswer: (route: string, tookMs: number) => void
  /** Whether the node takes a request whose deadline is at the wall time `deadlineAtMs`. */
  admits: (route: string, deadlineAtMs: number) => boolean
}

/** Creates the gate of a node. */
export function createStopGate ({ clock, endsAtMs }: StopGateOptions): StopGate {
  const answers = new Map<string, { tookMs: number[], next: number }>()

  function longestExpectedMs (route: string): number {
    const { tookMs } = answers.get(route) ?? { tookMs: [] }
    return tookMs.length < minAnswers ? Infinity : Math.max(...tookMs) * safetyFactor
  }

  return {
    recordAnswer: (route, tookMs) => {
      const recorded = answers.get(route) ?? { tookMs: [], next: 0 }
      answers.set(route, recorded)
      recorded.tookMs[recorded.next] = tookMs
      recorded.next = (recorded.next + 1) % rememberedAnswers
    },
    admits: (route, deadlineAtMs) => {
      const endAtMs = endsAtMs()
      if (endAtMs === undefined) return true
      const expectedMs = Math.min(longestExpectedMs(route), deadlineAtMs - clock.wallMs())
      return clock.monotonicMs() + expectedMs <= endAtMs
    }
  }
}
