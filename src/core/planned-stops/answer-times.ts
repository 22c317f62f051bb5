/**
 * How long the answers of each route take: by the latest complete answers, and by
 * the attempts in progress, which show first that backend servers became slower.
 */
import type { Clock } from '../clock/index.ts'
import type { AnswerEstimate, AnswerTimes, AttemptPace, OpenAttempt } from './types.ts'

/** Number of answers of a route that are remembered. */
const rememberedAnswers = 256
/** Age up to which answers are preferred to older ones, if there are enough of them. */
const recentMs = 3_000
/** Recent answers that tell the present pace. */
const minRecentAnswers = 8
/** With fewer answers, nothing is known of a route: one in n + 1 takes longer than the longest of n before. */
const minAnswers = 64
/** Answers with tokens that a quantile is taken of. */
const minSizedAnswers = 20
/** Factor on what the remembered answers took. */
const safetyFactor = 1.25
/** Quantile of first bytes and paces; both are rarely high in the same answer. */
const sizedQuantile = 0.95
/** Quantile of the paces of streams in progress, of which single ones may have stalled. */
const openQuantile = 0.75
/** Answers with fewer tokens count as this many, because a single pause would dominate their pace. */
const minPaceTokens = 16
/** The same for events. */
const minPaceEvents = 5
/** Weight of the latest pause in the average pause of a stream. */
const pauseWeight = 0.25

/** The answers of all routes. */
export interface AnswerTimesByRoute {
  record: (route: string, times: AnswerTimes) => void
  openAttempt: (route: string) => OpenAttempt
  estimate: (route: string, answerTokens: number | undefined) => AnswerEstimate
}

interface RecordedAnswer extends AnswerTimes {
  /** Monotonic time. */
  endedAtMs: number
}

interface AttemptProgress {
  /** Monotonic times. */
  startedAtMs: number
  lastEventAtMs: number | undefined
  eventCount: number
  /** Average pause between two events; undefined before the second one. */
  pauseMs: number | undefined
}

/** What answers took, and how many events a stream may have. */
interface PastTimes {
  firstByteMs: number
  /** From the first byte to the end. */
  restMs: number
  eventCount: number
}

interface RouteTimes {
  answers: RecordedAnswer[]
  next: number
  open: Set<AttemptProgress>
}

/** A quantile of some times; 0 if there are none. */
function quantileOf (times: readonly number[], quantile: number): number {
  const sorted = times.toSorted((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0
}

function paceTokens (answerTokens: number | undefined): number {
  return Math.max(minPaceTokens, answerTokens ?? 0)
}

/** Creates the times of a node. */
export function createAnswerTimes (clock: Clock): AnswerTimesByRoute {
  const routes = new Map<string, RouteTimes>()

  function timesOf (route: string): RouteTimes {
    const known = routes.get(route) ?? { answers: [], next: 0, open: new Set() }
    routes.set(route, known)
    return known
  }

  function recentAnswers ({ answers }: RouteTimes): RecordedAnswer[] {
    return answers.filter(({ endedAtMs }) => endedAtMs >= clock.monotonicMs() - recentMs)
  }

  /** Time to the first byte, and from there to the end, of a request that names its tokens. */
  function sizedTimes (sized: readonly RecordedAnswer[], answerTokens: number): PastTimes {
    const tokens = paceTokens(answerTokens)
    const perToken = (measure: (answer: RecordedAnswer) => number): number => quantileOf(sized.map(answer => measure(answer) / paceTokens(answer.answerTokens)), sizedQuantile)
    return {
      firstByteMs: quantileOf(sized.map(answer => answer.firstByteMs), sizedQuantile),
      restMs: perToken(answer => answer.tookMs - answer.firstByteMs) * tokens,
      eventCount: perToken(answer => answer.eventCount) * tokens
    }
  }

  /** The same of one that doesn't. A few recent answers tell the pace, but not how long a stream may be. */
  function unsizedTimes (telling: readonly RecordedAnswer[], all: readonly RecordedAnswer[]): PastTimes {
    const firstByteMs = quantileOf(telling.map(answer => answer.firstByteMs), 1)
    const restMs = quantileOf(telling.map(answer => answer.tookMs - answer.firstByteMs), 1)
    const eventCount = quantileOf(all.map(answer => answer.eventCount), 1)
    const msPerEvent = quantileOf(telling.map(answer => (answer.tookMs - answer.firstByteMs) / Math.max(minPaceEvents, answer.eventCount)), sizedQuantile)
    return { firstByteMs, restMs: Math.max(restMs, eventCount * msPerEvent), eventCount }
  }

  function paceOf ({ startedAtMs, pauseMs, lastEventAtMs }: AttemptProgress): AttemptPace {
    const nowMs = clock.monotonicMs()
    return { sinceSentMs: nowMs - startedAtMs, pausePerEventMs: lastEventAtMs === undefined ? undefined : Math.max(pauseMs ?? 0, nowMs - lastEventAtMs) }
  }

  /** The attempts in progress, which are not over yet: their answers take at least so long. */
  function presentPace ({ open }: RouteTimes): { firstByteMs: number, openStreams: number, pausePerEventMs: number | undefined } {
    const paces = [...open].map(paceOf)
    const waitingMs = paces.flatMap(({ sinceSentMs, pausePerEventMs }) => pausePerEventMs === undefined ? [sinceSentMs] : [])
    const pausesMs = paces.flatMap(({ pausePerEventMs }) => pausePerEventMs ?? [])
    return {
      firstByteMs: quantileOf(waitingMs, 1),
      openStreams: pausesMs.length,
      pausePerEventMs: pausesMs.length === 0 ? undefined : quantileOf(pausesMs, openQuantile)
    }
  }

  function pastTimes (times: RouteTimes, recent: readonly RecordedAnswer[], answerTokens: number | undefined): PastTimes {
    // Recent answers tell most, unless they are few.
    const answers = recent.length >= minRecentAnswers ? recent : times.answers
    const recentSized = answers.filter(answer => answer.answerTokens !== undefined)
    const sized = recentSized.length >= minSizedAnswers ? recentSized : times.answers.filter(answer => answer.answerTokens !== undefined)
    return answerTokens === undefined || sized.length < minSizedAnswers ? unsizedTimes(answers, times.answers) : sizedTimes(sized, answerTokens)
  }

  function estimate (route: string, answerTokens: number | undefined): AnswerEstimate {
    const times = timesOf(route)
    const { answers } = times
    const recent = recentAnswers(times)
    const { firstByteMs, openStreams, pausePerEventMs } = presentPace(times)
    const newestAtMs = answers.at(times.next - 1)?.endedAtMs
    const basis = {
      knownAnswers: answers.length,
      recentAnswers: recent.length,
      newestAnswerAgeMs: newestAtMs === undefined ? undefined : clock.monotonicMs() - newestAtMs,
      openStreams,
      pausePerEventMs
    }
    if (answers.length < minAnswers) return { expectedMs: Infinity, expectedEvents: undefined, ...basis }
    const past = pastTimes(times, recent, answerTokens)
    const restMs = Math.max(past.restMs, (pausePerEventMs ?? 0) * past.eventCount)
    return { expectedMs: (Math.max(past.firstByteMs, firstByteMs) + restMs) * safetyFactor, expectedEvents: past.eventCount, ...basis }
  }

  function openAttempt (route: string): OpenAttempt {
    const { open } = timesOf(route)
    const attempt: AttemptProgress = { startedAtMs: clock.monotonicMs(), lastEventAtMs: undefined, eventCount: 0, pauseMs: undefined }
    open.add(attempt)
    return {
      onEvents: count => {
        const nowMs = clock.monotonicMs()
        const added = count - attempt.eventCount
        if (added <= 0) return
        if (attempt.lastEventAtMs !== undefined) {
          const pauseMs = (nowMs - attempt.lastEventAtMs) / added
          attempt.pauseMs = (attempt.pauseMs ?? pauseMs) * (1 - pauseWeight) + pauseMs * pauseWeight
        }
        attempt.lastEventAtMs = nowMs
        attempt.eventCount = count
      },
      pace: () => paceOf(attempt),
      end: () => { open.delete(attempt) }
    }
  }

  return {
    record: (route, times) => {
      const recorded = timesOf(route)
      recorded.answers[recorded.next] = { ...times, endedAtMs: clock.monotonicMs() }
      recorded.next = (recorded.next + 1) % rememberedAnswers
    },
    openAttempt,
    estimate
  }
}
