/** Stand-in of a plain runner: registers itself in the store, runs requests in slots with a short queue, and names itself in its answers. */
import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

const heartbeatMs = 1_200
/** Time after which a request that fails is answered. */
const failureMs = 5

export async function startRunner ({ id, service, zone, platform, record, workMs, version = 'v1', fails = () => false, slots = 6, queue = 24, onArrival = () => {} }) {
  const born = Date.now()
  let running = 0
  const queued = []
  const connections = new Set()
  let isRegistered = true
  let sequence = 0
  let state = 'ready'

  async function takeSlot () {
    if (running < slots) {
      running += 1
      return true
    }
    if (queued.length >= queue) return false
    await new Promise(resolve => queued.push(resolve))
    return true
  }

  function freeSlot () {
    const next = queued.shift()
    if (next === undefined) running -= 1
    else next()
  }

  async function handle (request, response) {
    const attempt = request.headers['x-cyclamenshunt-attempt-id']
    const headers = { 'x-cyclamenshunt-attempt-id': attempt ?? '', 'keep-alive': 'timeout=10' }
    const body = []
    for await (const chunk of request) body.push(chunk)
    if (request.headers['x-cyclamenshunt-expect-instance'] !== id) return response.writeHead(421, headers).end()
    onArrival({ id, attempt, atMs: Date.now(), body: Buffer.concat(body) })
    if (!await takeSlot()) return response.writeHead(503, { ...headers, 'x-cyclamenshunt-not-executed': '1' }).end()
    record(`${id} runs ${attempt}`)
    const status = fails() ? 500 : 200
    await sleep(status === 200 ? workMs : failureMs)
    freeSlot()
    const answer = `${attempt} ${id}`
    if (status !== 200) record(`${id} fails ${attempt}`)
    response.writeHead(status, { ...headers, 'x-cyclamenshunt-response-seal': `seal.${id}.${attempt}`, 'content-length': answer.length }).end(answer)
  }

  const server = createServer({ keepAliveTimeout: 10_000 }, (request, response) => {
    handle(request, response).catch(() => response.destroy())
  })
  server.on('connection', socket => {
    connections.add(socket)
    socket.on('close', () => connections.delete(socket))
  })
  await new Promise(resolve => server.listen({ host: '127.0.0.1', port: 0 }, resolve))

  function register () {
    sequence += 1
    platform.put(`servers/${id}`, { service, address: `127.0.0.1:${server.address().port}`, zone, version, slots, state, cold_remaining_ms: 0, sequence, born })
  }

  register()
  const heartbeat = setInterval(() => { if (isRegistered) register() }, heartbeatMs)

  function close () {
    clearInterval(heartbeat)
    server.close()
    for (const socket of connections) socket.destroy()
  }

  function exitIn (servesMs) {
    setTimeout(() => {
      record(`${id} exits`)
      isRegistered = false
      platform.remove(`servers/${id}`)
      close()
    }, servesMs).unref()
  }

  return {
    id,
    version,
    /** Reports `draining`, and serves on for `servesMs`. */
    drain: servesMs => {
      state = 'draining'
      register()
      record(`${id} draining`)
      exitIn(servesMs)
    },
    /** Leaves without reporting `draining`: the entry is removed, and the runner serves on for `servesMs`. Returns the time of the removal. */
    leave: servesMs => {
      isRegistered = false
      platform.remove(`servers/${id}`)
      const removedAtMs = Date.now()
      record(`${id} entry removed`)
      exitIn(servesMs)
      return removedAtMs
    },
    close
  }
}
