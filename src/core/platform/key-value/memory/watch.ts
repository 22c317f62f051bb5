/**
 * One watch of an in-memory key-value service. Changes are reported in order of
 * revision, in a microtask after the call that made them.
 */
import { createError } from '../../../errors/index.ts'
import type { Clock } from '../../../clock/index.ts'
import type { KeyValueError, Watch, WatchHandlers } from '../types.ts'
import type { CallCounter } from './call-counts.ts'
import type { KeyValueState } from './state.ts'

/** Options of a watch. */
export interface MemoryWatchOptions {
  clock: Clock
  state: KeyValueState
  counter: CallCounter
  prefix: string
  afterRevision: number
  handlers: WatchHandlers
  /** Whether the service accepted the watch. */
  admitted: boolean
  watchIdleTimeoutMs: number
  onEnd: () => void
}

/** A watch with fault injection. */
export interface MemoryWatch extends Watch {
  /** Stops all messages; the watch is lost after the idle timeout. */
  silence: () => void
  /** Breaks the connection; the watch is lost at once. */
  break: () => void
}

function unavailable (cause: string): KeyValueError {
  return createError('KeyValueUnavailable', { operation: 'watch', cause })
}

/** Opens a watch. */
export function openMemoryWatch (options: MemoryWatchOptions): MemoryWatch {
  const ended = new AbortController()
  let silent = false
  let unsubscribe = (): void => {}

  function end (): void {
    if (ended.signal.aborted) return
    ended.abort()
    unsubscribe()
    if (options.admitted) options.counter.watchClosed()
    options.onEnd()
  }

  function endAsLost (error: KeyValueError): void {
    if (ended.signal.aborted) return
    end()
    queueMicrotask(() => options.handlers.onLost(error))
  }

  async function endAfterIdleTimeout (): Promise<void> {
    await options.clock.sleep(options.watchIdleTimeoutMs, ended.signal)
    endAsLost(unavailable('no message arrived within the idle timeout'))
  }

  function open (): void {
    const subscribed = options.state.subscribe(options.prefix, options.afterRevision, (changes, revision) => {
      if (silent) return
      queueMicrotask(() => {
        if (!ended.signal.aborted) options.handlers.onChanges(changes, revision)
      })
    })
    if (subscribed.isErr) endAsLost(subscribed.error)
    else unsubscribe = subscribed.value
  }

  if (options.admitted) {
    options.counter.watchOpened()
    queueMicrotask(() => { if (!ended.signal.aborted) open() })
  } else {
    queueMicrotask(() => endAsLost(unavailable('the service refused the watch')))
  }

  return {
    close: end,
    silence: () => {
      silent = true
      endAfterIdleTimeout()
    },
    break: () => endAsLost(unavailable('the connection broke'))
  }
}
