/**
 * A stand-in for the platform's instance list: serves the entry nodes and
 * backend servers with a delay.
 */
import express from 'express'
import { request as sendRequest } from 'undici'
import { createSystemClock } from '../../core/clock/index.ts'
import { startServer } from '../server.ts'
import { instanceListLagMs } from '../timings.ts'
import type { Backend } from '../../core/backends/index.ts'
import type { InstanceListing, ListedEntryNode } from '../../core/platform/instance-list/index.ts'
import type { ListenOptions } from '../server.ts'

export interface InstanceListStandInOptions extends ListenOptions {
  /** Delay of the list, in milliseconds; with 0 each request reads the current state. */
  lagMs?: number
  /** Reads the backend servers in-process; takes precedence over `cloudUrl`. */
  backends?: () => Backend[]
  /** Address of a stand-in cloud from which the backend servers are read. */
  cloudUrl?: string
  nodes?: ListedEntryNode[]
}

/** A running stand-in for the instance list. */
export interface InstanceListStandIn {
  url: string
  /** Sets the entry nodes; `POST /control/nodes` adds or changes one, `DELETE /control/nodes/:node` removes one. */
  setNodes: (nodes: ListedEntryNode[]) => void
  /** Sets backend servers that are listed in addition to those from `backends` or `cloudUrl`. */
  setBackends: (backends: Backend[]) => void
  set: (faults: { down: boolean }) => Promise<void>
  close: () => Promise<void>
}

const sampleIntervalMs = 100

export async function createInstanceListStandIn (options: InstanceListStandInOptions = {}): Promise<InstanceListStandIn> {
  const clock = createSystemClock()
  const closeController = new AbortController()
  const lagMs = options.lagMs ?? instanceListLagMs
  let nodes = options.nodes ?? []
  let fixedBackends: Backend[] = []
  let samples: Array<{ atMs: number, listing: InstanceListing }> = []

  async function readBackends (): Promise<Backend[]> {
    if (options.backends !== undefined) return options.backends()
    if (options.cloudUrl === undefined) return []
    const { body } = await sendRequest(`${options.cloudUrl}/backends`)
    return await body.json() as Backend[]
  }

  async function sample (): Promise<void> {
    const backends = await readBackends()
    const atMs = clock.monotonicMs()
    samples.push({ atMs, listing: structuredClone({ nodes, backends: [...fixedBackends, ...backends] }) })
    const visible = samples.findLastIndex(each => each.atMs <= atMs - lagMs)
    if (visible > 0) samples = samples.slice(visible)
  }

  async function sampleRepeatedly (): Promise<void> {
    while (!closeController.signal.aborted) {
      // When the cloud can't be read, the list stays unchanged.
      await sample().catch(() => {})
      await clock.sleep(sampleIntervalMs, closeController.signal)
    }
  }

  function setNode (node: ListedEntryNode): void {
    nodes = [...nodes.filter(other => other.address.node !== node.address.node), node]
  }

  const app = express()
  app.use(express.json())
  app.get('/instances', async (_request, response) => {
    if (lagMs === 0) await sample().catch(() => {})
    const shown = lagMs === 0 ? samples.at(-1) : samples[0]
    response.json(shown?.listing ?? { nodes: [], backends: [] })
  })
  app.post('/control/nodes', (request, response) => {
    setNode(request.body as ListedEntryNode)
    response.json({})
  })
  app.delete('/control/nodes/:node', (request, response) => {
    nodes = nodes.filter(({ address }) => address.node !== request.params.node as string)
    response.json({})
  })
  const server = await startServer(app, options)
  sampleRepeatedly()

  return {
    url: server.url,
    setNodes: next => { nodes = next },
    setBackends: next => { fixedBackends = next },
    set: async ({ down }) => { await (down ? server.stopListening() : server.resumeListening()) },
    close: async () => {
      closeController.abort()
      await server.close()
    }
  }
}
