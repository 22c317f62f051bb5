/**
 * HTTP exchange of views of the key-value service: a node serves its view to nodes
 * that can't reach the service, and fetches views from other nodes.
 */
import { createServer } from 'node:http'
import { createConnections, requestJson } from '../connections/index.ts'
import { isRevision } from '../platform/key-value/revision.ts'
import type { Server } from 'node:http'
import type { Clock } from '../clock/index.ts'
import type { Snapshot } from '../store-view/types.ts'

/** Address at which a node serves its view. */
export interface ViewAddress {
  host: string
  port: number
}

const viewPath = '/view'
/** Timeout of one request: several round trips and a large view. */
const requestTimeoutMs = 800

interface ViewResponse {
  revision: number
  entries: Array<[string, string, number]>
}

/** Serves the view at the given addresses. A view that is not newer than the requested revision is sent without entries. */
export async function serveView (addresses: readonly ViewAddress[], snapshot: () => Snapshot): Promise<Server[]> {
  return await Promise.all(addresses.map(async ({ host, port }) => {
    const server = createServer((request, response) => {
      // A request target need not be a valid URL.
      const [path, query] = (request.url ?? '').split('?')
      if (path !== viewPath) {
        response.writeHead(404).end()
        return
      }
      const { revision, entries } = snapshot()
      const isNewer = revision > Number(new URLSearchParams(query).get('after') ?? 0)
      const view: ViewResponse = { revision, entries: isNewer ? [...entries].map(([key, { value, modRevision }]) => [key, value, modRevision]) : [] }
      response.setHeader('content-type', 'application/json')
      response.end(JSON.stringify(view))
    })
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen({ host, port }, resolve)
    })
    return server
  }))
}

/** Decodes a view, without the entries that can't be read; undefined if it isn't a view. */
function decodeView (body: unknown): Snapshot | undefined {
  const { revision, entries } = body as Partial<ViewResponse> | null | undefined ?? {}
  if (!isRevision(revision) || !Array.isArray(entries)) return undefined
  const readable = entries.flatMap((entry: unknown) => {
    if (!Array.isArray(entry)) return []
    const [key, value, modRevision] = entry as unknown[]
    return typeof key === 'string' && typeof value === 'string' && isRevision(modRevision) ? [[key, { value, modRevision }] as const] : []
  })
  return { revision, entries: new Map(readable) }
}

/** Fetches views from the nodes one after the other until one has a newer revision; undefined if none has. */
export async function fetchNewerView (addresses: readonly ViewAddress[], afterRevision: number, clock: Clock): Promise<Snapshot | undefined> {
  for (const { host, port } of addresses) {
    const connections = createConnections(`http://${host}:${port}`, { maxConnections: 1 })
    try {
      const { body, status } = await requestJson(connections, clock, {
        method: 'GET', path: `${viewPath}?after=${afterRevision}`, deadlineAtMs: clock.wallMs() + requestTimeoutMs
      })
      const view = status === 200 ? decodeView(body) : undefined
      if (view === undefined || view.revision <= afterRevision) continue
      return view
    } catch {
      // The node can't be reached; try the next one.
      continue
    } finally {
      await connections.close()
    }
  }
  return undefined
}
