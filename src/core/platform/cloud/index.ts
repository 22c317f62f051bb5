/** HTTP client of the cloud API. */
import { createConnections } from '../../connections/index.ts'
import { createPlatformCall } from '../call.ts'
import type { Clock } from '../../clock/index.ts'
import type { Cloud, CloudInstance, CloudOffer, ReclaimNotice } from './types.ts'

export type * from './types.ts'

/** Options of the client. */
export interface CloudOptions {
  /** Base URL of the API. */
  url: string
  clock: Clock
}

const refusedStatus = 503
const goneStatus = 404
const maxConnections = 4

/** Creates a client of the cloud API. */
export function createCloud ({ url, clock }: CloudOptions): Cloud {
  const connections = createConnections(url, { maxConnections })
  const call = createPlatformCall('cloud', connections, clock)
  return {
    offers: async deadlineAtMs => {
      const response = await call('offers', { method: 'GET', path: '/offers', deadlineAtMs })
      return response.map(({ body }) => body as CloudOffer[])
    },
    start: async (order, deadlineAtMs) => {
      const response = await call('start', { method: 'POST', path: '/instances', body: order, deadlineAtMs }, [200, refusedStatus])
      return response.map(({ status }) => status === 200)
    },
    stop: async (instance, fencingNumber, deadlineAtMs) => {
      const path = `/instances/${encodeURIComponent(instance)}?fencingNumber=${fencingNumber}`
      const response = await call('stop', { method: 'DELETE', path, deadlineAtMs }, [200, goneStatus])
      return response.map(() => undefined)
    },
    instances: async deadlineAtMs => {
      const response = await call('instances', { method: 'GET', path: '/instances', deadlineAtMs })
      return response.map(({ body }) => body as CloudInstance[])
    },
    notices: async (afterSequence, deadlineAtMs) => {
      const response = await call('notices', { method: 'GET', path: `/notices?after=${afterSequence}`, deadlineAtMs })
      return response.map(({ body }) => body as ReclaimNotice[])
    },
    close: connections.close
  }
}
