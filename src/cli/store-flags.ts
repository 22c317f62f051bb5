/** Flags of the commands that read or write declarations in the key-value service. */
import { userInfo } from 'node:os'
import { Flags } from '@oclif/core'
import { createSystemClock } from '../core/clock/index.ts'
import type { Clock } from '../core/clock/index.ts'
import { createHttpKeyValue } from '../core/platform/key-value/index.ts'
import type { KeyValueStore } from '../core/platform/key-value/index.ts'

/** Addresses and timeout of the key-value service. */
export const storeFlags = {
  endpoint: Flags.string({
    description: 'Address of the key-value service; can be given several times.',
    multiple: true,
    multipleNonGreedy: true,
    env: 'CYCLAMENSHUNT_KEY_VALUE',
    default: ['http://127.0.0.1:2379']
  }),
  timeout: Flags.integer({ description: 'Timeout for the key-value service, in seconds.', default: 15, min: 1 })
}

/** Flags of the commands that write declarations. */
export const writeFlags = {
  ...storeFlags,
  by: Flags.string({ description: 'Name of the operator, shown in the history and in conflicts; defaults to the user of the process.', env: 'CYCLAMENSHUNT_OPERATOR' }),
  'dry-run': Flags.boolean({ description: 'Show what would change without writing.', default: false })
}

/** Returns the operator given by the flag, or else the user of the process. */
export function resolveOperator (by: string | undefined): string {
  return by ?? userInfo().username
}

/** A client of the key-value service with the command's deadline. */
export interface StoreSession {
  store: KeyValueStore
  clock: Clock
  deadlineAtMs: number
}

/** Runs a function with a client of the key-value service and closes the client afterwards. */
export async function withStore<Value> (
  flags: { endpoint: string[], timeout: number },
  work: (session: StoreSession) => Promise<Value>
): Promise<Value> {
  const clock = createSystemClock()
  const store = createHttpKeyValue({ endpoints: flags.endpoint, clock })
  try {
    return await work({ store, clock, deadlineAtMs: clock.wallMs() + flags.timeout * 1000 })
  } finally {
    await store.close()
  }
}
