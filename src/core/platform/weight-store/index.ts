/** HTTP client of the weight store. */
import { createConnections } from '../../connections/index.ts'
import { createPlatformCall } from '../call.ts'
import type { Clock } from '../../clock/index.ts'
import type { WeightStore, WeightStoreStatus } from './types.ts'

export type * from './types.ts'

/** Options of the client. */
export interface WeightStoreOptions {
  /** Base URL of the store. */
  url: string
  clock: Clock
}

const maxConnections = 2

/** Creates a client of the store. */
export function createWeightStore ({ url, clock }: WeightStoreOptions): WeightStore {
  const connections = createConnections(url, { maxConnections })
  const call = createPlatformCall('weight store', connections, clock)
  return {
    status: async deadlineAtMs => {
      const response = await call('status', { method: 'GET', path: '/status', deadlineAtMs })
      return response.map(({ body }) => body as WeightStoreStatus)
    },
    sizeBytes: async (version, deadlineAtMs) => {
      const response = await call('sizeBytes', { method: 'GET', path: `/weights/${encodeURIComponent(version)}`, deadlineAtMs })
      return response.map(({ body }) => (body as { sizeBytes: number }).sizeBytes)
    },
    close: connections.close
  }
}
