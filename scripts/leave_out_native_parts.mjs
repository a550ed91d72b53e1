/**
 * esbuild plugin that replaces native addons, which a bundle can't contain, by modules that throw.
 * Each library catches the error and falls back to JavaScript. With a plain `require`, Node would
 * print a warning at every start.
 */
export const leaveOutNativeParts = {
  name: 'leave-out-native-parts',
  setup(build) {
    const filter = /^(msgpackr-extract|bufferutil|utf-8-validate)$/;
    build.onResolve({ filter }, ({ path: name }) => ({ path: name, namespace: 'native-part' }));
    build.onLoad({ filter: /.*/, namespace: 'native-part' }, ({ path: name }) => ({
      contents: `throw new Error('${name} is no part of the bundle');`,
      loader: 'js',
    }));
  },
};
