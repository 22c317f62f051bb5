/**
 * Stand-in of the platform's store and API. Each machine gets a listener of its own,
 * so that a case can treat the calls of one machine differently.
 */
import { createServer } from 'node:http'

const pathPrefix = '/cyclamenshunt/'
const maxPageItems = 500
const maxWaitMs = 30_000
const msPerAnswer = 4

async function readJson (request) {
  const chunks = []
  for await (const chunk of request) chunks.push(chunk)
  return chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString())
}

/** Creates the content of the store. */
export function createStore () {
  const items = new Map()
  const leases = new Map()
  const waiting = new Set()
  const apiCalls = []
  let history = []
  let revision = 100
  let nextLease = 1_000

  function addEvents (events) {
    history.push(...events)
    if (history.length > 20_000) history = history.slice(-10_000)
    for (const watcher of [...waiting]) watcher.notify()
  }

  /** Applies a change of several keys at one revision. */
  function apply (puts, deletes) {
    revision += 1
    const events = []
    for (const { key, value, lease = 0 } of puts) {
      const created = items.get(key)?.created ?? revision
      const item = { key, value, revision, created, lease }
      items.set(key, item)
      events.push(item)
    }
    for (const key of deletes) if (items.delete(key)) events.push({ key, revision, tombstone: true })
    addEvents(events)
    return revision
  }

  function endLease (lease) {
    clearTimeout(leases.get(lease)?.timer)
    if (!leases.delete(lease)) return
    const keys = [...items.values()].filter(item => item.lease === lease).map(({ key }) => key)
    if (keys.length > 0) apply([], keys)
  }

  function keepLease (lease) {
    const known = leases.get(lease)
    if (known === undefined) return false
    clearTimeout(known.timer)
    known.timer = setTimeout(() => endLease(lease), known.ttlMs)
    known.timer.unref()
    return true
  }

  function range (prefix, after) {
    const keys = [...items.keys()].filter(key => key.startsWith(prefix) && (after === null || key > after)).sort()
    return { items: keys.slice(0, maxPageItems).map(key => items.get(key)), has_more: keys.length > maxPageItems, store_revision: revision }
  }

  function eventsAfter (prefix, after) {
    return history.filter(event => event.revision > after && event.key.startsWith(prefix))
  }

  function transact ({ expected_rev: expected = [], puts = [], delete: deletes = [] }) {
    if ([...puts.map(({ key }) => key), ...deletes].some(key => key.startsWith('op/') || key.startsWith('servers/'))) return { status: 403, body: {} }
    const isMet = expected.every(({ key, revision: known }) => (items.get(key)?.revision ?? 0) === known)
    if (!isMet) return { status: 412, body: { items: expected.map(({ key }) => items.get(key) ?? { key, revision: 0 }) } }
    if (puts.some(({ lease = 0 }) => lease !== 0 && !leases.has(lease))) return { status: 404, body: {} }
    return { status: 200, body: { revision: apply(puts, deletes) } }
  }

  function grant (ttlMs) {
    nextLease += 1
    leases.set(nextLease, { ttlMs, timer: undefined })
    keepLease(nextLease)
    return { status: 200, body: { lease: nextLease, ttl_ms: ttlMs } }
  }

  async function execute (method, url, request) {
    const query = url.searchParams
    const [call = '', id = ''] = url.pathname.slice(pathPrefix.length).split('/')
    if (call === 'kv-key') {
      const item = items.get(query.get('key'))
      return item === undefined ? { status: 404, body: { store_revision: revision } } : { status: 200, body: { ...item, store_revision: revision } }
    }
    if (call === 'kv-range') return { status: 200, body: range(query.get('path_prefix') ?? '', query.get('after_rev')) }
    if (call === 'kv-txn') return transact(await readJson(request))
    if (call === 'kv-lease') return grant(Number((await readJson(request)).ttl_ms))
    if (call === 'kv-keep') return keepLease(Number(id)) ? { status: 200, body: { ttl_ms: leases.get(Number(id)).ttlMs } } : { status: 404, body: {} }
    if (call === 'kv-lease-end') {
      endLease(Number(id))
      return { status: 200, body: {} }
    }
    return { status: 404, body: {} }
  }

  /** Answers a watch as soon as there is an event, or at the end of the wait. */
  function watch (url, response, answer, isServed) {
    const prefix = url.searchParams.get('path_prefix') ?? ''
    const after = Number(url.searchParams.get('after_rev'))
    const timer = setTimeout(() => end(), Math.min(maxWaitMs, Number(url.searchParams.get('wait_ms'))))
    const watcher = { notify: () => { if (eventsAfter(prefix, after).length > 0) end() }, cut: () => { stop(); response.destroy() } }

    function stop () {
      clearTimeout(timer)
      waiting.delete(watcher)
    }

    function end () {
      stop()
      if (isServed()) answer({ status: 200, body: { events: eventsAfter(prefix, after), store_revision: revision } })
    }

    waiting.add(watcher)
    response.on('close', stop)
    watcher.notify()
  }

  return {
    put: (key, value) => apply([{ key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], []),
    remove: key => apply([], [key]),
    get: key => items.get(key) === undefined ? undefined : Buffer.from(items.get(key).value, 'base64').toString(),
    keys: prefix => [...items.keys()].filter(key => key.startsWith(prefix)),
    apiCalls,
    waitingCount: () => waiting.size,
    /** Ends all watches that wait, without an answer. */
    cutWatches: () => {
      const count = waiting.size
      for (const watcher of [...waiting]) watcher.cut()
      return count
    },
    /** Listens for one machine; `treat` returns 'serve', 'busy' or 'silent' for each call. */
    listen: async (host, treat = () => 'serve') => {
      const server = createServer((request, response) => {
        const url = new URL(request.url, 'http://store')
        const treatment = treat(url.pathname)
        if (treatment === 'silent') return
        const answer = ({ status, body }) => setTimeout(() => {
          response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
        }, msPerAnswer / 2)
        if (treatment === 'busy') {
          request.resume()
          return answer({ status: 503, body: {} })
        }
        if (!url.pathname.startsWith(pathPrefix)) {
          return readJson(request).then(body => {
            apiCalls.push({ atMs: Date.now(), path: url.pathname, holder: request.headers['x-cyclamenshunt-duty-holder'], fencingNumber: Number(request.headers['x-cyclamenshunt-fence-token']), body })
            answer({ status: 200, body: {} })
          })
        }
        setTimeout(() => {
          if (url.pathname === `${pathPrefix}kv-watch`) return watch(url, response, answer, () => treat(url.pathname) === 'serve')
          execute(request.method, url, request).then(answer, () => response.destroy())
        }, msPerAnswer / 2)
      })
      server.keepAliveTimeout = 60_000
      await new Promise(resolve => server.listen({ host, port: 0 }, resolve))
      return { address: `${host}:${server.address().port}`, close: () => { server.closeAllConnections(); server.close() } }
    }
  }
}
