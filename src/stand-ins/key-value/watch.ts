/**
 * One watch of the key-value stand-in: a stream of JSON lines with periodic
 * progress messages.
 */
import { encodeKeyValue, encodeText } from '../../core/platform/key-value/http/gateway.ts'
import type { Response } from 'express'
import type { KeyValueChange } from '../../core/platform/key-value/index.ts'
import type { MemoryKeyValue } from '../../core/platform/key-value/memory/index.ts'
import type { GatewayWatchResponse } from '../../core/platform/key-value/http/gateway.ts'

export interface StreamWatchOptions {
  response: Response
  service: MemoryKeyValue
  prefix: string
  /** First revision to send; 0 for the next one. */
  startRevision: number
  progressIntervalMs: number
}

function toEvent ({ key, value, modRevision }: KeyValueChange): NonNullable<GatewayWatchResponse['events']>[number] {
  if (value === undefined) return { type: 'DELETE', kv: { key: encodeText(key), mod_revision: String(modRevision) } }
  return { kv: encodeKeyValue({ key, value, modRevision }) }
}

/** Streams changes until the client disconnects. Cancels the watch when the start revision is compacted. */
export function streamWatch (options: StreamWatchOptions): void {
  const { response, service } = options
  const { state } = service

  function write (message: Omit<GatewayWatchResponse, 'header'>): void {
    response.write(JSON.stringify({ result: { header: { revision: String(state.revision()) }, ...message } }) + '\n')
  }

  response.setHeader('content-type', 'application/json')
  write({ created: true })
  const afterRevision = options.startRevision === 0 ? state.revision() : options.startRevision - 1
  const subscribed = state.subscribe(options.prefix, afterRevision, changes => write({ events: changes.map(toEvent) }))
  if (subscribed.isErr) {
    write({ canceled: true, compact_revision: String(state.compactedRevision() + 1) })
    response.end()
    return
  }
  const unsubscribe = subscribed.value
  const progress = setInterval(() => write({}), options.progressIntervalMs)
  service.watchOpened()
  response.on('close', () => {
    clearInterval(progress)
    unsubscribe()
    service.watchClosed()
  })
}
