/** When and where a request is sent again. */
import type { Clock } from '../clock/index.ts'
import type { CallerClientOptions, ProblemDetails, Repeat } from './types.ts'

/** Repeats without progress before a client gives up, for each address that it knows. */
const maxIdleAttemptsPerUrl = 8
const firstDelayMs = 50
const maxDelayMs = 2_000

/** The attempts of one request, over all addresses of a client. */
export interface Attempts {
  /** Address of the current attempt. */
  url: () => string
  /** Says that the answer came further, so that the count of idle attempts begins anew. */
  progressed: () => void
  /** Waits for the next attempt at the next address; false when there is none left before the deadline. */
  next: (cause: string, notBeforeMs?: number) => Promise<boolean>
}

/** Options of the attempts of one request. */
export interface AttemptsOptions {
  urls: string[]
  /** Index of the first address. */
  start: number
  clock: Clock
  random: () => number
  deadlineAtMs: number
  signal: AbortSignal | undefined
  onRepeat: ((repeat: Repeat) => void) | undefined
}

/** Creates the attempts of one request. */
export function createAttempts (options: AttemptsOptions): Attempts {
  const { urls, clock, deadlineAtMs } = options
  let index = options.start % urls.length
  let idle = 0

  function delayMs (): number {
    if (idle === 0) return 0
    const most = Math.min(maxDelayMs, firstDelayMs * 2 ** (idle - 1))
    return most * (0.5 + options.random() / 2)
  }

  async function next (cause: string, notBeforeMs = 0): Promise<boolean> {
    const nowMs = clock.wallMs()
    const repeatAtMs = Math.max(nowMs + delayMs(), notBeforeMs)
    idle += 1
    if (idle > maxIdleAttemptsPerUrl * urls.length || repeatAtMs >= deadlineAtMs) return false
    index = (index + 1) % urls.length
    options.onRepeat?.({ url: urls[index]!, cause, repeatAtMs })
    await clock.sleep(repeatAtMs - nowMs, options.signal)
    return options.signal?.aborted !== true
  }

  return {
    url: () => urls[index]!,
    progressed: () => { idle = 0 },
    next
  }
}

/** Makes the attempts of one request of a client. */
export function attemptsFor (client: CallerClientOptions, start: number, deadlineAtMs: number, signal: AbortSignal | undefined): Attempts {
  const { urls, clock, random = Math.random, onRepeat } = client
  return createAttempts({ urls, start, clock, random, deadlineAtMs, signal, onRepeat })
}

/** Codes of errors that arise before a byte of the request has left. */
const connectCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EAI_AGAIN', 'UND_ERR_CONNECT_TIMEOUT'
])

/** Whether an error arose before a byte of the request has left. */
export function neverLeft (error: unknown): boolean {
  const { code } = error as NodeJS.ErrnoException
  return code !== undefined && connectCodes.has(code)
}

/** Whether a refusal invites a repeat: the work didn't run and the node says when to come back. */
export function invitesRepeat (problem: ProblemDetails): boolean {
  return problem.run === 'not-run' && problem.retryAtMs !== undefined
}
