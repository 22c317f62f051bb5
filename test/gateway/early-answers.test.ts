/** Guards against a part of an answer that is taken for the whole one: the backend server answers an upload before it has read it, and the connection ends while the upload is still being written. */
import test from 'ava'
import { earlyEndings, startEarlyBackend, uploadBytes } from '../early-backend.ts'
import { configuration, signed, startGateway } from './deployment.ts'

const routes = configuration.routes.map(route => ({ ...route, timeoutMs: 60_000 }))
const limits = { ...configuration.limits, maxBodyBytes: 2 * uploadBytes }

function answerTo (request: string): string {
  const id = /x-request: (\S+)/i.exec(request)?.[1] ?? ''
  return ['HTTP/1.1 200 OK', ...Object.entries(signed(id)).map(([name, value]) => `${name}: ${value}`), '', 'id: 1\ndata: part\n\n'].join('\r\n')
}

const uploads: Record<string, () => RequestInit> = {
  'with a length': () => ({ body: Buffer.alloc(uploadBytes, 'u') }),
  'in chunks': () => ({ body: new Blob([Buffer.alloc(uploadBytes, 'u')]).stream(), duplex: 'half' } as RequestInit)
}

for (const [ending, end] of Object.entries(earlyEndings)) {
  for (const [framing, upload] of Object.entries(uploads)) {
    for (const path of ['/register/', '/once/']) {
      test.serial(`an answer without a length to an upload ${framing} at ${path} does not look complete if the backend server ${ending}`, async t => {
        const { port, backends } = await startGateway(t, [() => {}], { limits, routes })
        const [registered] = backends.list()
        backends.put({ ...registered!.entry, address: { host: '127.0.0.1', port: await startEarlyBackend(t, answerTo, end) } })
        const response = await fetch(`http://127.0.0.1:${port}${path}`, { method: 'POST', headers: { 'x-request': 'r-1', authorization: 'Bearer key-1' }, ...upload() })
        // The events of a stream are forwarded as they arrive, so that only its end can show that it is cut.
        if (path === '/once/' && response.status === 200) await t.throwsAsync(response.text())
        else t.is(response.status, 502)
      })
    }
  }
}
