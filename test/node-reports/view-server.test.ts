/** A node's control port and what it fetches from others: requests and views that can't be read. */
import { createServer, request } from 'node:http'
import test from 'ava'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { fetchNewerView, serveView } from '../../src/core/node-reports/index.ts'
import type { AddressInfo } from 'node:net'

const host = '127.0.0.1'
const entries = new Map([['servers/i-1', { value: 'v', modRevision: 7 }]])

function statusOf (port: number, path: string): Promise<number | undefined> {
  return new Promise((resolve, reject) => {
    request({ host, port, path }, response => {
      response.resume()
      resolve(response.statusCode)
    }).on('error', reject).end()
  })
}

test('a node answers a request for a target that is not a URL at its control port and goes on serving its view', async t => {
  const [server] = await serveView([{ host, port: 0 }], () => ({ revision: 7, entries }))
  t.teardown(() => server!.close())
  const { port } = server!.address() as AddressInfo
  for (const path of ['//', '//[', 'http://', '*', '/%ff?after=%ff', '/view%']) t.is(await statusOf(port, path), 404, path)
  const view = await fetchNewerView([{ host, port }], 0, createSystemClock())
  t.deepEqual(view, { revision: 7, entries })
})

test('a view of another node that can not be read is skipped, and so is an entry that can not be read', async t => {
  const odd = [null, [], { revision: 'x', entries: [] }, { revision: 1e300, entries: [] }, { revision: 9 }, { revision: 9, entries: {} }]
  const bodies = [...odd.map(body => JSON.stringify(body)), '{', JSON.stringify({ revision: 9, entries: [['servers/i-1', 'v', 7], null, [1, 2, 3], ['k', 'v', 'x'], ['k', 'v', 2 ** 60]] })]
  const servers = await Promise.all(bodies.map(async body => {
    const server = createServer((_request, response) => { response.end(body) })
    await new Promise<void>(resolve => server.listen({ host, port: 0 }, resolve))
    return server
  }))
  t.teardown(() => servers.forEach(server => server.close()))
  const addresses = servers.map(server => ({ host, port: (server.address() as AddressInfo).port }))
  t.deepEqual(await fetchNewerView(addresses, 5, createSystemClock()), { revision: 9, entries })
})
