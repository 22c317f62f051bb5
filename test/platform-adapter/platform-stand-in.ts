/** Stand-in of the platform's key-value store and API, with faults that tests inject. */
import { createServer } from 'node:http'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createMemoryKeyValue } from '../../src/core/platform/key-value/index.ts'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { LeaseId } from '../../src/core/ids/index.ts'
import type { KeyValueChange, KeyValueEntry } from '../../src/core/platform/key-value/index.ts'
import type { KeyValueCopy } from '../../src/core/platform/key-value/memory/state.ts'

const clock = createSystemClock()
const longDeadline = () => ({ deadlineAtMs: Date.now() + 5_000 })

/** Injected fault: `busy` responds with 503, `lost` executes a call and drops the response, `silent` never responds, `no-history` fails watches with 410. */
export type StoreFault = 'none' | 'busy' | 'lost' | 'silent' | 'no-history'

/** A recorded call of the platform API. */
export interface ApiCall {
  path: string
  holder: string
  fencingNumber: number
  body: Record<string, unknown>
}

/** Starts the store and the API on loopback. `pageSize` is the maximum number of items per page of a listing. */
export async function startPlatform ({ pageSize = 500 }: { pageSize?: number } = {}) {
  const memory = createMemoryKeyValue({ clock })
  const client = memory.connect('store')
  const apiCalls: ApiCall[] = []
  let fault: StoreFault = 'none'
  let era = 0
  let listCount = 0

  function toItem ({ key, value, modRevision, leaseId }: KeyValueEntry) {
    return { key, value: Buffer.from(value).toString('base64'), revision: modRevision, created: modRevision, lease: Number(leaseId ?? 0) }
  }

  function toEvent ({ key, value, modRevision }: KeyValueChange) {
    return value === undefined ? { key, revision: modRevision, tombstone: true } : toItem({ key, value, modRevision })
  }

  async function readJson (request: IncomingMessage): Promise<Record<string, unknown>> {
    let text = ''
    for await (const chunk of request) text += String(chunk)
    return text === '' ? {} : JSON.parse(text) as Record<string, unknown>
  }

  async function watch (prefix: string, after: number, waitMs: number): Promise<{ status: number, body: object }> {
    if (fault === 'no-history' || after > memory.state.revision()) return { status: 410, body: {} }
    const gathered: KeyValueChange[] = []
    return await new Promise(resolve => {
      const opened = client.watch(prefix, after, {
        onChanges: (changes, revision) => {
          gathered.push(...changes)
          // The memory store reports each revision by itself; the platform's answers have all that there are.
          setImmediate(() => {
            opened.close()
            resolve({ status: 200, body: { events: gathered.map(toEvent), store_revision: Math.max(revision, ...gathered.map(({ modRevision }) => modRevision)) } })
          })
        },
        onLost: () => resolve({ status: 410, body: {} })
      })
      setTimeout(() => {
        opened.close()
        resolve({ status: 200, body: { events: [], store_revision: Math.max(after, memory.state.revision()) } })
      }, waitMs)
    })
  }

  async function executeCall (request: IncomingMessage, url: URL): Promise<{ status: number, body: object }> {
    const query = url.searchParams
    const path = url.pathname.replace('/cyclamenshunt/', '')
    const body = await readJson(request)
    if (path === 'kv-key') {
      const read = (await client.get(query.get('key') ?? '', longDeadline())).unwrapOr(undefined)
      return read?.entry === undefined ? { status: 404, body: {} } : { status: 200, body: { ...toItem(read.entry), store_revision: read.revision } }
    }
    if (path === 'kv-range') {
      listCount += 1
      const listed = (await client.list(query.get('path_prefix') ?? '', longDeadline())).unwrapOr({ entries: [], revision: 0 })
      const after = query.get('after_rev')
      const rest = listed.entries.filter(({ key }) => after === null || key > after)
      return { status: 200, body: { items: rest.slice(0, pageSize).map(toItem), has_more: rest.length > pageSize, store_revision: listed.revision } }
    }
    if (path === 'kv-watch') return await watch(query.get('path_prefix') ?? '', Number(query.get('after_rev')), Number(query.get('wait_ms')))
    if (path === 'kv-txn') {
      const { expected_rev: expected = [], puts = [], delete: deletes = [] } = body as {
        expected_rev?: Array<{ key: string, revision: number }>, puts?: Array<{ key: string, value: string, lease?: number }>, delete?: string[]
      }
      const result = (await client.transact({
        compares: expected.map(({ key, revision }) => ({ key, modRevision: revision })),
        puts: puts.map(({ key, value, lease }) => ({
          key, value: Buffer.from(value, 'base64').toString(), ...(lease === undefined ? {} : { leaseId: toId<LeaseId>(String(lease)) })
        })),
        deletes
      }, longDeadline())).unwrapOr(undefined)
      if (result === undefined) return { status: 404, body: {} }
      return result.applied ? { status: 200, body: { revision: result.revision } } : { status: 412, body: { items: result.current.map(toItem) } }
    }
    if (path === 'kv-lease') {
      const ttlMs = Number(body['ttl_ms'])
      const lease = (await client.grantLease(ttlMs / 1_000, longDeadline())).unwrapOr(undefined)
      return { status: 200, body: { lease: Number(lease), ttl_ms: ttlMs } }
    }
    const [call = '', id = ''] = path.split('/')
    if (call === 'kv-keep') return { status: (await client.keepAlive(toId<LeaseId>(id), longDeadline())).unwrapOr(false) ? 200 : 404, body: { ttl_ms: 1_000 } }
    if (call === 'kv-lease-end') {
      await client.revokeLease(toId<LeaseId>(id), longDeadline())
      return { status: 200, body: {} }
    }
    apiCalls.push({
      path: url.pathname,
      holder: String(request.headers['x-cyclamenshunt-duty-holder']),
      fencingNumber: Number(request.headers['x-cyclamenshunt-fence-token']),
      body
    })
    return { status: 200, body: {} }
  }

  async function handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (fault === 'silent') return
    if (era > 0) response.setHeader('store-era', era)
    if (fault === 'busy') {
      response.writeHead(503).end('busy')
      return
    }
    const { status, body } = await executeCall(request, new URL(request.url ?? '/', 'http://store'))
    if (era > 0) response.setHeader('store-era', era)
    if (fault === 'lost') {
      response.destroy()
      return
    }
    response.writeHead(status, { 'content-type': 'application/json' })
    response.end(JSON.stringify(body))
  }

  const server = createServer((request, response) => { handle(request, response) })
  await new Promise<void>(resolve => server.listen({ host: '127.0.0.1', port: 0 }, resolve))
  const { port } = server.address() as AddressInfo
  return {
    origin: `http://127.0.0.1:${port}`,
    address: `127.0.0.1:${port}`,
    memory,
    apiCalls,
    setFault: (next: StoreFault) => { fault = next },
    setEra: (next: number) => { era = next },
    listCount: () => listCount,
    copy: () => memory.state.copy(),
    /** Restores a copy: everything that was written since is lost, and the era rises. */
    restore: (copy: KeyValueCopy) => {
      memory.state.restore(copy)
      memory.scheduleLeaseExpiry()
      era += 1
    },
    put: async (key: string, value: unknown) => {
      await client.transact({ compares: [], puts: [{ key, value: typeof value === 'string' ? value : JSON.stringify(value) }], deletes: [] }, longDeadline())
    },
    get: async (key: string): Promise<string | undefined> => (await client.get(key, longDeadline())).unwrapOr(undefined)?.entry?.value,
    remove: async (key: string) => {
      await client.transact({ compares: [], puts: [], deletes: [key] }, longDeadline())
    },
    close: async () => {
      server.closeAllConnections()
      server.close()
      memory.close()
    }
  }
}
