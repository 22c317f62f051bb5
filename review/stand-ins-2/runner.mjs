/** Stand-in of a runner of a plain service: it answers after its work and records what it ran. */
import { createServer } from 'node:http'

/** Starts a runner; `onRun` is called with each request that it begins to work on. */
export async function startRunner ({ id, host, workMs = 20, bodyBytes = 200, onRun = () => {}, answerOf }) {
  const server = createServer({ keepAliveTimeout: 15_000, maxHeaderSize: 256 * 1024 }, (request, response) => {
    if (request.url === '/health') return response.writeHead(200, { 'x-cyclamenshunt-instance-id': id, 'content-length': 0 }).end()
    if (request.headers['x-cyclamenshunt-expect-instance'] !== id) {
      request.resume()
      return response.writeHead(421, { 'x-cyclamenshunt-instance-id': id, 'content-length': 0 }).end()
    }
    const attempt = request.headers['x-cyclamenshunt-attempt-id']
    const arrivedAtMs = Date.now()
    let receivedBytes = 0
    request.on('data', chunk => { receivedBytes += chunk.length })
    request.on('end', () => {
      onRun({ atMs: arrivedAtMs, runner: id, attempt, method: request.method, url: request.url, tenant: request.headers['x-cyclamenshunt-tenant'], receivedBytes })
      setTimeout(() => {
        if (response.destroyed) return
        if (answerOf !== undefined) return answerOf(request, response, id)
        const body = Buffer.alloc(bodyBytes, 'r')
        response.writeHead(200, { 'x-cyclamenshunt-attempt-id': attempt, 'x-cyclamenshunt-response-seal': `${id}.${attempt}`, 'content-length': body.length }).end(body)
      }, workMs)
    })
  })
  await new Promise(resolve => server.listen({ host, port: 0 }, resolve))
  return {
    id,
    address: `${host}:${server.address().port}`,
    /** Ends at once, as a process that exits. */
    stop: () => new Promise(resolve => { server.close(resolve); server.closeAllConnections() })
  }
}

/** The entry that a runner writes to the store. */
export function entryOf ({ address }, { service, zone, state = 'ready', sequence = 1, slots = 64, version = 'v1', bornMs }) {
  return { service, address, zone, version, slots, state, cold_remaining_ms: 0, sequence, ...(bornMs === undefined ? {} : { born: bornMs }) }
}
