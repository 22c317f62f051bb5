/** Client for callers: streams drafts and makes calls through any of several nodes. */
import { Agent } from 'undici'
import { makeCall } from './call.ts'
import { streamDraft } from './draft.ts'
import type { CallerClient, CallerClientOptions } from './types.ts'

export type * from './types.ts'

const connectTimeoutMs = 3_000
const defaultIdleTimeoutMs = 20_000

/** Creates a client with one team's token. It starts with a random URL, so that callers spread over the nodes. */
export function createCallerClient (options: CallerClientOptions): CallerClient {
  const { random = Math.random, idleTimeoutMs = defaultIdleTimeoutMs } = options
  const dispatcher = new Agent({
    connect: { timeout: connectTimeoutMs },
    headersTimeout: idleTimeoutMs,
    bodyTimeout: idleTimeoutMs
  })
  const pickFirstUrlIndex = (): number => Math.floor(random() * options.urls.length)
  return {
    draft: (request, signal) => streamDraft(options, dispatcher, pickFirstUrlIndex(), request, signal),
    call: (request, signal) => makeCall(options, dispatcher, pickFirstUrlIndex(), request, signal),
    close: () => dispatcher.destroy()
  }
}
