/** Opens the ports of a daemon. */
package io.bilberrygrade.serving.listen;
