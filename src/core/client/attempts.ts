/** Retry policy of the client: when and to which URL a request is sent again. */
import type { Clock } from '../clock/index.ts'
import type { CallerClientOptions, ProblemDetails, Retry } from './types.ts'

/** Number of attempts without progress before a client gives up, multiplied by the number of its URLs. */
const maxAttemptsWithoutProgressPerUrl = 8
const firstDelayMs = 50
const maxDelayMs = 2_000

/** The attempts of one request, over all URLs of a client. */
export interface Attempts {
  /** URL of the current attempt. */
  url: () => string
  /** Called when an attempt received new events; resets the count of attempts without progress, and with it the backoff. */
  recordProgress: () => void
  /** Waits until the next attempt, at the next URL; false if there is none before the deadline, or the signal has aborted. */
  waitForNext: (cause: string, notBeforeMs?: number) => Promise<boolean>
}

/** Options of the attempts of one request. */
export interface AttemptsOptions {
  urls: string[]
  /** Index of the URL of the first attempt. Values beyond the last URL wrap around. */
  firstUrlIndex: number
  clock: Clock
  random: () => number
  deadlineAtMs: number
  signal: AbortSignal | undefined
  onRetry: ((retry: Retry) => void) | undefined
}

/** Creates the attempts of one request, with jittered exponential backoff and without a delay before the first retry. */
export function createAttempts (options: AttemptsOptions): Attempts {
  const { urls, clock, deadlineAtMs } = options
  let index = options.firstUrlIndex % urls.length
  let attemptsWithoutProgress = 0

  function delayMs (): number {
    if (attemptsWithoutProgress === 0) return 0
    const maxMs = Math.min(maxDelayMs, firstDelayMs * 2 ** (attemptsWithoutProgress - 1))
    return maxMs * (0.5 + options.random() / 2)
  }

  async function waitForNext (cause: string, notBeforeMs = 0): Promise<boolean> {
    const nowMs = clock.wallMs()
    const retryAtMs = Math.max(nowMs + delayMs(), notBeforeMs)
    attemptsWithoutProgress += 1
    if (attemptsWithoutProgress > maxAttemptsWithoutProgressPerUrl * urls.length || retryAtMs >= deadlineAtMs) return false
    index = (index + 1) % urls.length
    options.onRetry?.({ url: urls[index]!, cause, retryAtMs })
    await clock.sleep(retryAtMs - nowMs, options.signal)
    return options.signal?.aborted !== true
  }

  return {
    url: () => urls[index]!,
    recordProgress: () => { attemptsWithoutProgress = 0 },
    waitForNext
  }
}

/** Creates the attempts of one request with the options of a client. */
export function createClientAttempts (client: CallerClientOptions, firstUrlIndex: number, deadlineAtMs: number, signal: AbortSignal | undefined): Attempts {
  const { urls, clock, random = Math.random, onRetry } = client
  return createAttempts({ urls, firstUrlIndex, clock, random, deadlineAtMs, signal, onRetry })
}

/** Codes of errors that occur before any byte of the request has been sent. */
const connectErrorCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EAI_AGAIN', 'UND_ERR_CONNECT_TIMEOUT'
])

/** Whether an error occurred before any byte of the request was sent. */
export function wasNeverSent (error: unknown): boolean {
  const { code } = error as NodeJS.ErrnoException
  return code !== undefined && connectErrorCodes.has(code)
}

/** Whether a refused request may be retried: it didn't run, and the node gives a time for the retry. */
export function isRetryable (problem: ProblemDetails): boolean {
  return problem.run === 'not-run' && problem.retryAtMs !== undefined
}
