/** A node's control port: requests that can't be read. */
import { request } from 'node:http'
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
