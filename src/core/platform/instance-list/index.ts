/** HTTP client of the platform's instance list. */
import { createConnections } from '../../connections/index.ts'
import { createPlatformCall } from '../call.ts'
import { decodeListing } from './decode.ts'
import type { Result } from 'true-myth'
import type { Clock } from '../../clock/index.ts'
import type { CyclamenError } from '../../errors/index.ts'
import type { InstanceList, InstanceListing } from './types.ts'

export type * from './types.ts'

/** Options of the client. */
export interface InstanceListOptions {
  /** Base URL of the list. */
  url: string
  clock: Clock
  /** Called when the number of instances changes that can't be read; they are left out. */
  onInvalid?: (count: number) => void
}

const maxConnections = 2

/** Creates a client of the list. */
export function createInstanceList ({ url, clock, onInvalid = () => {} }: InstanceListOptions): InstanceList {
  const connections = createConnections(url, { maxConnections })
  const call = createPlatformCall('instance list', connections, clock)

  let invalidCount = 0

  async function read (deadlineAtMs: number): Promise<Result<InstanceListing, CyclamenError>> {
    const response = await call('read', { method: 'GET', path: '/instances', deadlineAtMs })
    return response.andThen(({ body }) => {
      let count = 0
      const listing = decodeListing(body, invalid => { count = invalid })
      if (count !== invalidCount) onInvalid(count)
      invalidCount = count
      return listing
    })
  }

  return {
    read,
    readNodes: async deadlineAtMs => (await read(deadlineAtMs)).map(({ nodes }) => nodes),
    close: connections.close
  }
}
