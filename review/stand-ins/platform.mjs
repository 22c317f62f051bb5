/**
 * Stand-in of the platform: the key-value store with its leases, watches and
 * eras, and the API that takes usage reports. The operator writes through
 * `put`; nodes use HTTP.
 */
import { createServer } from 'node:http'

const pageSize = 500
const expiryCheckMs = 50

/** Starts the platform on a free loopback port. `record` gets a line for each usage report. */
export async function startPlatform (record = () => {}) {
  let state = { revision: 1, items: new Map(), leases: new Map(), nextLease: 1000 }
  /** All changes since the start or the last restore, oldest first. */
  let history = []
  let oldestRevision = 1
  let era = 1
  let isAway = false
  let highestFence = 0
  const waiting = new Set()
  const usageReports = []

  function wakeWatches () {
    for (const wake of [...waiting]) wake()
  }

  function change (key, item) {
    if (item === undefined) state.items.delete(key)
    else state.items.set(key, item)
    history.push(item ?? { key, revision: state.revision, tombstone: true })
  }

  /** Applies puts and deletes as one revision. */
  function write (puts, deletes) {
    const removed = deletes.filter(key => state.items.has(key))
    if (puts.length === 0 && removed.length === 0) return state.revision
    state.revision += 1
    for (const { key, value, lease = 0 } of puts) {
      change(key, { key, value, revision: state.revision, created: state.items.get(key)?.created ?? state.revision, lease })
    }
    for (const key of removed) change(key, undefined)
    wakeWatches()
    return state.revision
  }

  function endLease (lease) {
    state.leases.delete(lease)
    write([], [...state.items.values()].filter(item => item.lease === lease).map(({ key }) => key))
  }

  const expiry = setInterval(() => {
    if (isAway) return
    for (const [lease, { untilMs }] of state.leases) if (performance.now() > untilMs) endLease(lease)
  }, expiryCheckMs)

  function watch (prefix, after, waitMs, response) {
    if (after > state.revision || after < oldestRevision) return send(response, 410, {})
    const watchedEra = era
    const finish = () => {
      waiting.delete(finish)
      clearTimeout(timer)
      if (era !== watchedEra || isAway) return response.destroy()
      send(response, 200, { events: history.filter(({ key, revision }) => revision > after && key.startsWith(prefix)), store_revision: state.revision })
    }
    const timer = setTimeout(finish, waitMs)
    if (state.revision > after) return finish()
    waiting.add(finish)
  }

  function transact ({ expected_rev: expected = [], puts = [], delete: deletes = [] }) {
    const isMet = expected.every(({ key, revision }) => (state.items.get(key)?.revision ?? 0) === revision)
    if (!isMet) return [412, { items: expected.flatMap(({ key }) => state.items.get(key) ?? []) }]
    if (puts.some(({ lease = 0 }) => lease !== 0 && !state.leases.has(lease))) return [404, {}]
    return [200, { revision: write(puts, deletes) }]
  }

  function reportUsage (headers, body) {
    const fence = Number(headers['x-cyclamenshunt-fence-token'])
    const holder = headers['x-cyclamenshunt-duty-holder']
    const isAccepted = fence >= highestFence
    highestFence = Math.max(highestFence, fence)
    usageReports.push({ window: body.window_id, counts: body.counts, fence, holder, isAccepted })
    record(`usage report of window ${body.window_id} by ${holder}, fence ${fence}: ${JSON.stringify(body.counts)} -> ${isAccepted ? 200 : 409}`)
    return isAccepted ? [200, {}] : [409, { error: 'a higher fence was seen' }]
  }

  function send (response, status, body) {
    const text = JSON.stringify(body)
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), 'store-era': era })
    response.end(text)
  }

  function execute (request, url, body, response) {
    const query = url.searchParams
    const path = url.pathname.replace('/cyclamenshunt/', '')
    if (path === '/usage') return send(response, ...reportUsage(request.headers, body))
    if (path === 'kv-watch') return watch(query.get('path_prefix') ?? '', Number(query.get('after_rev')), Number(query.get('wait_ms')), response)
    if (path === 'kv-key') {
      const item = state.items.get(query.get('key'))
      return send(response, item === undefined ? 404 : 200, { ...item, store_revision: state.revision })
    }
    if (path === 'kv-range') {
      const after = query.get('after_rev') ?? ''
      const items = [...state.items.values()].filter(({ key }) => key.startsWith(query.get('path_prefix') ?? '') && key > after).sort((a, b) => a.key < b.key ? -1 : 1)
      return send(response, 200, { items: items.slice(0, pageSize), has_more: items.length > pageSize, store_revision: state.revision })
    }
    if (path === 'kv-txn') return send(response, ...transact(body))
    if (path === 'kv-lease') {
      state.nextLease += 1
      state.leases.set(state.nextLease, { ttlMs: body.ttl_ms, untilMs: performance.now() + body.ttl_ms })
      return send(response, 200, { lease: state.nextLease, ttl_ms: body.ttl_ms })
    }
    const [call, id] = path.split('/')
    const lease = state.leases.get(Number(id))
    if (lease === undefined) return send(response, 404, {})
    if (call === 'kv-keep') lease.untilMs = performance.now() + lease.ttlMs
    else endLease(Number(id))
    send(response, 200, { ttl_ms: lease.ttlMs })
  }

  const server = createServer((request, response) => {
    // While it is away, the store answers nothing; the API of the platform goes on.
    const isStore = request.url.startsWith('/cyclamenshunt/')
    if (isAway && isStore) return request.socket.destroy()
    let text = ''
    request.on('data', chunk => { text += chunk })
    request.on('end', () => {
      if (isAway && isStore) return request.socket.destroy()
      execute(request, new URL(request.url, 'http://store'), text === '' ? {} : JSON.parse(text), response)
    })
  })
  await new Promise(resolve => server.listen({ host: '127.0.0.1', port: 0 }, resolve))

  return {
    address: `127.0.0.1:${server.address().port}`,
    usageReports,
    put: (key, value) => write([{ key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], []),
    remove: key => write([], [key]),
    /** The value of a key that the system writes in JSON; undefined if there is none. */
    get: key => {
      const item = state.items.get(key)
      return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, 'base64').toString())
    },
    keys: () => [...state.items.keys()],
    copy: () => structuredClone(state),
    /** The store is away until `restore`. */
    leave: () => {
      isAway = true
      wakeWatches()
    },
    /** The store is back from an older copy: what was written since is gone, and revisions are given out again. */
    restore: copy => {
      state = structuredClone(copy)
      history = []
      oldestRevision = state.revision
      era += 1
      isAway = false
    },
    close: () => {
      clearInterval(expiry)
      server.close()
      server.closeAllConnections()
    }
  }
}
