/**
 * Decides whether a stopping node takes a request: only one that it expects to
 * finish before it ends its connections, by the time that recent answers of the
 * request's route took. All others are refused at once, so that their callers
 * can go to another node.
 */
import type { Clock } from '../clock/index.ts'

/** Number of answers of a route that are remembered. */
const rememberedAnswers = 256
/** With fewer answers, a request is expected to take all the time until its deadline. */
const minAnswers = 8
/** Factor on what the remembered answers took. */
const safetyFactor = 1.25
/** Quantile of first bytes and paces; both are rarely high in the same answer. */
const sizedQuantile = 0.95
/** Answers with fewer tokens count as this many, because a single pause would dominate their pace. */
const minPaceTokens = 16

/** What is known of an answer when it is delivered. Times count from the arrival of its request. */
export interface AnswerTimes {
  firstByteMs: number
  tookMs: number
  /** Maximum tokens of the answer; undefined if the request doesn't say. */
  answerTokens: number | undefined
}

/** A request at the gate. */
export interface GateRequest {
  route: string
  /** Maximum tokens of the answer; undefined if the request doesn't say. */
  answerTokens: number | undefined
  /** Wall time. */
  deadlineAtMs: number
}

/** Options of the gate. */
export interface StopGateOptions {
  clock: Clock
  /** Monotonic time at which open requests are ended; undefined while the node isn't stopping. */
  endsAtMs: () => number | undefined
}

/** The gate of a node. */
export interface StopGate {
  recordAnswer: (route: string, times: AnswerTimes) => void
  admits: (request: GateRequest) => boolean
}

/** A quantile of some times, of which there is at least one. */
function quantileOf (times: readonly number[], quantile: number): number {
  const sorted = times.toSorted((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0
}

/** Creates the gate of a node. */
export function createStopGate ({ clock, endsAtMs }: StopGateOptions): StopGate {
  const answersOf = new Map<string, { answers: AnswerTimes[], next: number }>()

  /** Time that an answer takes at most, by far most probably. */
  function expectedMs (route: string, answerTokens: number | undefined): number {
    const { answers } = answersOf.get(route) ?? { answers: [] }
    if (answers.length < minAnswers) return Infinity
    const sized = answers.filter(answer => answer.answerTokens !== undefined)
    if (answerTokens === undefined || sized.length < minAnswers) return quantileOf(answers.map(({ tookMs }) => tookMs), 1) * safetyFactor
    const firstByteMs = quantileOf(sized.map(answer => answer.firstByteMs), sizedQuantile)
    const msPerToken = quantileOf(sized.map(answer => (answer.tookMs - answer.firstByteMs) / Math.max(minPaceTokens, answer.answerTokens ?? 0)), sizedQuantile)
    return (firstByteMs + msPerToken * Math.max(minPaceTokens, answerTokens)) * safetyFactor
  }

  return {
    recordAnswer: (route, times) => {
      const recorded = answersOf.get(route) ?? { answers: [], next: 0 }
      answersOf.set(route, recorded)
      recorded.answers[recorded.next] = times
      recorded.next = (recorded.next + 1) % rememberedAnswers
    },
    admits: ({ route, answerTokens, deadlineAtMs }) => {
      const endAtMs = endsAtMs()
      if (endAtMs === undefined) return true
      const longestMs = Math.min(expectedMs(route, answerTokens), deadlineAtMs - clock.wallMs())
      return clock.monotonicMs() + longestMs <= endAtMs
    }
  }
}
