/** What callers send while nodes are stopped: streams, large answers, and calls that may be repeated or not. */
import { formatLargeBody, longTimeoutMs, routeTimeoutMs } from '../../test/platform-adapter/soak-deployment.ts'
import { formatEvents, streamPath } from '../../test/platform-adapter/soak-engine.ts'

/** A stream at the normal pace of the engine. */
interface Stream {
  events: number
  intervalMs: number
  /** Whether the request says how many tokens its answer has, one an event. */
  namesTokens: boolean
}

/** A request that a caller may send. */
export interface CallerRequest {
  method: string
  path: string
  isIdempotent: boolean
  /** Undefined if the answer isn't a stream. */
  stream: Stream | undefined
  /** Time for which the caller waits, at most the route's timeout. */
  timeoutMs: number
  /** The whole body of the answer of a backend server. */
  expectedBody: (id: string) => string
}

/** What callers send, and how often. */
export interface StopLoad {
  drawStream: (random: () => number) => Stream
  /** Shares of streams and of large answers among requests; half of the others are idempotent. */
  streamRatio: number
  largeRatio: number
  /** Share of streams that may be resumed. */
  resumableRatio: number
  /** Share of streams whose caller waits for less than the route's timeout. */
  shortDeadlineRatio: number
  callerCount: number
  /** Share of requests that follow a pause, and the longest time for which callers leave a connection idle. */
  pauseRatio: number
  maxIdleMs: number
}

const minLongStreamMs = 1_000
const maxLongStreamMs = 7_500
const longStreamEvents = 91
/** Bounds of the longest stream of a paced load, which takes less than a sixth of the grace period. */
const minPacedMs = 300
const maxPacedMs = 1_200
const minPacedEvents = 12
const maxPacedEvents = 40
const minDeadlineMs = 3_000
/** Shares of streams that have no length, and of those of a paced load on the more frequent one of both routes. */
const unframedRatio = 0.25
const mainRouteRatio = 0.85

/** Streams of any pace, up to about the grace period. */
export const longStreamLoad: StopLoad = {
  drawStream: random => {
    const intervalMs = Math.round((minLongStreamMs + random() * (maxLongStreamMs - minLongStreamMs)) / longStreamEvents)
    return { events: longStreamEvents, intervalMs, namesTokens: false }
  },
  streamRatio: 0.5,
  largeRatio: 0.15,
  resumableRatio: 0.4,
  shortDeadlineRatio: 0,
  callerCount: 60,
  pauseRatio: 0.25,
  maxIdleMs: 5_000
}

/** Many streams of one pace and of few or many events, so that a node soon knows how long they take, on connections that are often idle, so that some are used late in a stop. */
export function createPacedLoad (random: () => number): StopLoad {
  const longestEvents = drawBetween(minPacedEvents, maxPacedEvents, random())
  const shortestEvents = random() < 0.5 ? 1 : longestEvents
  const intervalMs = Math.round(drawBetween(minPacedMs, maxPacedMs, random()) / longestEvents)
  const namesTokens = random() < 0.5
  return {
    drawStream: random => ({ events: Math.round(drawBetween(shortestEvents, longestEvents, random())), intervalMs, namesTokens }),
    streamRatio: 0.8,
    largeRatio: 0.01,
    resumableRatio: random() < 0.7 ? 1 - mainRouteRatio : mainRouteRatio,
    shortDeadlineRatio: 0.3,
    callerCount: 100,
    pauseRatio: 0.5,
    maxIdleMs: 3_000
  }
}

/** A value between two bounds for a draw from 0 to 1; its logarithm is evenly distributed. */
function drawBetween (min: number, max: number, draw: number): number {
  return min * (max / min) ** draw
}

export function drawRequest (random: () => number, { drawStream, streamRatio, largeRatio, resumableRatio, shortDeadlineRatio }: StopLoad): CallerRequest {
  const draw = random()
  if (draw < streamRatio) {
    const isResumable = random() < resumableRatio
    const stream = drawStream(random)
    const path = streamPath({ isResumable, ...stream, hasLength: random() >= unframedRatio })
    const timeoutMs = random() < shortDeadlineRatio ? Math.round(minDeadlineMs + random() * (longTimeoutMs - minDeadlineMs)) : longTimeoutMs
    return { method: 'POST', path, isIdempotent: isResumable, stream, timeoutMs, expectedBody: id => formatEvents(id, stream.events) }
  }
  if (draw < streamRatio + largeRatio) return { method: 'GET', path: '/large/a', isIdempotent: true, stream: undefined, timeoutMs: longTimeoutMs, expectedBody: formatLargeBody }
  const isIdempotent = random() < 0.5
  return { method: isIdempotent ? 'GET' : 'POST', path: isIdempotent ? '/look-up/a' : '/register/a', isIdempotent, stream: undefined, timeoutMs: routeTimeoutMs, expectedBody: id => id }
}
