/**
 * One watch over the service's JSON gateway, on its own connection. The service
 * sends progress notifications, so a watch that receives nothing for the idle
 * timeout is considered lost: its connection may be dead without an error.
 */
import { Client } from 'undici'
import { createError } from '../../../errors/index.ts'
import { describeError, maxJsonBytes } from '../../../connections/index.ts'
import { decodeKeyValue, encodePrefix, gatewayPaths } from './gateway.ts'
import type { Clock } from '../../../clock/index.ts'
import type { KeyValueChange, KeyValueError, Watch, WatchHandlers } from '../types.ts'
import type { GatewayWatchResponse } from './gateway.ts'

/** Options of a watch. */
export interface HttpWatchOptions {
  origin: string
  headers: Record<string, string>
  clock: Clock
  prefix: string
  afterRevision: number
  handlers: WatchHandlers
  idleTimeoutMs: number
  /** Called once when the watch ends; `lost` is false if it was closed by its owner. */
  onEnd: (lost: boolean) => void
}

const idleChecksPerTimeout = 4
const newlineByte = 10

/** Splits a stream of bytes into lines; an incomplete last line is dropped. Throws when a line is longer than a message may be. */
async function * readLines (chunks: AsyncIterable<Buffer>): AsyncGenerator<string> {
  let pending: Buffer[] = []
  let pendingBytes = 0
  for await (const chunk of chunks) {
    let startOffset = 0
    for (let end = chunk.indexOf(newlineByte); end !== -1; end = chunk.indexOf(newlineByte, startOffset)) {
      pending.push(chunk.subarray(startOffset, end))
      yield Buffer.concat(pending).toString()
      pending = []
      pendingBytes = 0
      startOffset = end + 1
    }
    if (startOffset === chunk.length) continue
    pending.push(chunk.subarray(startOffset))
    pendingBytes += chunk.length - startOffset
    if (pendingBytes > maxJsonBytes) throw new Error(`a message is longer than ${maxJsonBytes} bytes`)
  }
}

function unavailable (cause: string): KeyValueError {
  return createError('KeyValueUnavailable', { operation: 'watch', cause })
}

/** Opens a watch. */
export function openHttpWatch (options: HttpWatchOptions): Watch {
  const { clock, handlers } = options
  const ended = new AbortController()
  const client = new Client(options.origin, { headersTimeout: 0, bodyTimeout: 0, connect: { timeout: options.idleTimeoutMs } })
  let lastMessageAtMs = clock.monotonicMs()

  function end (lost: boolean): void {
    ended.abort()
    client.destroy().catch(() => {})
    options.onEnd(lost)
  }

  function endAsLost (error: KeyValueError): void {
    if (ended.signal.aborted) return
    end(true)
    handlers.onLost(error)
  }

  /** Handles one message; `false` if the watch has ended. */
  function handleMessage (line: string): boolean {
    const { result } = JSON.parse(line) as { result?: GatewayWatchResponse }
    if (result === undefined) throw new Error('the service ended the watch')
    if (result.canceled === true) {
      const cause = result.compact_revision === undefined ? 'the service canceled the watch' : `revisions before ${result.compact_revision} were compacted`
      endAsLost(createError('KeyValueRejected', { operation: 'watch', cause }))
      return false
    }
    const changes = (result.events ?? []).map(({ type, kv }): KeyValueChange => {
      const { key, value, modRevision } = decodeKeyValue(kv)
      return { key, value: type === 'DELETE' ? undefined : value, modRevision }
    })
    if (changes.length > 0) handlers.onChanges(changes, Math.max(...changes.map(change => change.modRevision)))
    return true
  }

  async function listen (): Promise<void> {
    try {
      const createRequest = { ...encodePrefix(options.prefix), start_revision: String(options.afterRevision + 1), progress_notify: true }
      const { statusCode, body } = await client.request({
        path: gatewayPaths.watch,
        method: 'POST',
        headers: { 'content-type': 'application/json', ...options.headers },
        body: JSON.stringify({ create_request: createRequest }),
        signal: ended.signal
      })
      if (statusCode !== 200) throw new Error(`status ${statusCode}`)
      for await (const line of readLines(body)) {
        lastMessageAtMs = clock.monotonicMs()
        if (ended.signal.aborted || !handleMessage(line)) return
      }
      endAsLost(unavailable('the connection ended'))
    } catch (error) {
      endAsLost(unavailable(describeError(error)))
    }
  }

  async function detectIdle (): Promise<void> {
    while (!ended.signal.aborted) {
      await clock.sleep(options.idleTimeoutMs / idleChecksPerTimeout, ended.signal)
      if (clock.monotonicMs() - lastMessageAtMs >= options.idleTimeoutMs) endAsLost(unavailable('no message arrived within the idle timeout'))
    }
  }

  listen()
  detectIdle()
  return {
    close: () => {
      if (!ended.signal.aborted) end(false)
    }
  }
}
