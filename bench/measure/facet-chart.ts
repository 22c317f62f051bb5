/** A plot of lines on logarithmic scales, one facet for each number of nodes and one line for each policy. */
import type { TopLevelSpec } from 'vega-lite'

/** A field of the values and the title of its axis. */
interface Axis {
  field: string
  title: string
}

/** Creates the plot; the values have the fields `nodes`, `policy` and those of both axes. */
export function facetChart (values: ReadonlyArray<{ nodes: string, policy: string } & Record<string, unknown>>, { facets, x, y }: { facets: string[], x: Axis, y: Axis }): TopLevelSpec {
  return {
    background: 'white',
    data: { values: [...values] },
    facet: { field: 'nodes', type: 'nominal', title: null, sort: facets },
    spec: {
      width: 180,
      height: 180,
      mark: { type: 'line', point: true },
      encoding: {
        x: { ...x, type: 'quantitative', scale: { type: 'log' } },
        y: { ...y, type: 'quantitative', scale: { type: 'log' } },
        color: { field: 'policy', type: 'nominal', title: null }
      }
    }
  }
}
