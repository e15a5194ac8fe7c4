/** Client of model engines. */
package io.bilberrygrade.serving.engine;
